package loopback

import (
	"fmt"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort are below the ports that the system gives to outgoing connections.
	firstPort = 10000
	lastPort  = 32000
	// processes and ipsEach divide 127.0.0.0/8: the number of process IDs that are told apart, and of IP addresses for each.
	processes = 1 << 15
	ipsEach   = 1 << 9
	// givenIPs leaves out the first IP address of a process, which Address uses, and the broadcast address.
	givenIPs = ipsEach - 2
)

var portCount, ipCount atomic.Int32

// ipOf returns one of the IP addresses of a process.
func ipOf(pid, i int) netip.Addr {
	n := pid%processes*ipsEach + i
	return netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)})
}

// IP returns an IP address that was not among the last 510 that were given in this process, for a node that has ports of its own choice.
func IP() string {
	return ipOf(os.Getpid(), 1+int(ipCount.Add(1))%givenIPs).String()
}

// Address returns an address that was not given before in this process.
func Address() string {
	port := firstPort + int(portCount.Add(1))
	if port > lastPort {
		panic("loopback: all ports were given")
	}
	return fmt.Sprintf("%s:%d", ipOf(os.Getpid(), 0), port)
}
