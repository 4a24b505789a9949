// Package heartbeat keeps an instance's view of the other instances where nobody
// publishes a list of them. Every instance sends a row about itself as a
// datagram: often within its region, seldom to other regions, since those links
// are narrow. A member is reachable while its rows arrive. Unknown members are
// found through seeds, which may be stale, and through the rows that answer an
// introduction.
//
// Datagrams are used because a row replaces the ones before it, so a lost one
// needs no repetition, and because no connection can fall silent unnoticed.
package heartbeat
