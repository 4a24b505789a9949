package entry

import (
	"net"
	"net/http"
)

// OnConnState makes f run after each change of the state of a caller's connection.
func (s *Server) OnConnState(f func(http.ConnState)) {
	next := s.http.ConnState
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		next(c, state)
		f(state)
	}
}
