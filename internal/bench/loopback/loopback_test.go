package loopback

import (
	"net"
	"net/netip"
	"testing"
)

func TestProcessesHaveIPsOfTheirOwn(t *testing.T) {
	owners := map[netip.Addr]int{}
	for pid := range processes {
		for _, i := range []int{0, givenIPs} {
			ip := ipOf(pid, i)
			if other, ok := owners[ip]; ok || !ip.IsLoopback() {
				t.Fatalf("got %s for the processes %d and %d, want two loopback addresses", ip, other, pid)
			}
			owners[ip] = pid
		}
	}
}

func TestIPsAndAddressesAreGivenOnce(t *testing.T) {
	given := map[string]bool{}
	add := func(address string) {
		if given[address] {
			t.Fatalf("got %s twice", address)
		}
		given[address] = true
	}
	for range givenIPs {
		ip := IP()
		add(ip)
		add(Address())
		// Each IP address can be listened on.
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
	}
}
