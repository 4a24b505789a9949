// Package intake bounds what clients can take of a process before their requests run:
// one budget of memory for request heads, bodies and messages of all ports, a number
// of connections for each port, and the times in which a head and a body must have
// arrived. It does not decide which requests run; a request that it refuses has not
// run.
package intake
