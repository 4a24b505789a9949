package standin

import "net"

// ServeConns calls serve for each connection that l accepts, until l is closed. serve
// closes the connection.
func ServeConns(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}
