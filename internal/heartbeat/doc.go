// Package heartbeat tracks the other instances of a deployment in which no
// list of instances is published. Every instance sends heartbeats about itself
// as UDP datagrams: often within its region, less often to other regions, since
// those links have little bandwidth. A failure domain of several instances gets one
// heartbeat, which the receiver relays to the others. A member is reachable while its
// heartbeats arrive. Unknown members are discovered through seed addresses, which may be
// out of date, and through the heartbeats that an instance returns when another
// one introduces itself.
//
// The transport is UDP because each heartbeat supersedes the previous ones, so
// a lost one need not be retransmitted, and because there is no connection that
// could stall undetected.
package heartbeat
