package transport

import (
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// pendingConnections returns how many connections the kernel has taken for a listener that have not been accepted.
func pendingConnections(l net.Listener) (int, error) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return 0, merry.New("listener has no socket")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, merry.Prepend(err, "socket of listener")
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return 0, merry.Prepend(err, "socket of listener")
	}
	if infoErr != nil {
		return 0, merry.Prepend(infoErr, "state of listener")
	}
	// On a socket that listens this is the length of the queue.
	return int(info.Unacked), nil
}
