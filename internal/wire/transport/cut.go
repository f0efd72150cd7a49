package transport

import (
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Cut closes the connection of a response that has begun, so that it does not look complete. An HTTP/1.0 caller gets no chunks, and a
// closed connection is the end of the body to it, so its connection is reset.
func Cut(w http.ResponseWriter, r *http.Request) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return merry.Prepend(err, "take over connection")
	}
	if r.ProtoAtLeast(1, 1) {
		return conn.Close()
	}
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}
