// Package admission decides whether and in which order requests may run. It is
// a weighted fair queue over teams, with tokens as the cost of a request and
// bounds on queue length and waiting time.
package admission
