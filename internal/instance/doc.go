// Package instance builds and runs a gateway instance on a platform that
// publishes neither the list of instances nor the shares of the teams' rates
// that each of them may spend.
package instance
