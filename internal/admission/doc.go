// Package admission decides whether and in which order requests may run: a
// weighted fair queue by tokens over teams, with bounds on length and waiting
// time.
package admission
