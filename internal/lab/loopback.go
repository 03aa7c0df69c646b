package lab

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstFreePort is below the range from which the system chooses ports for
	// outgoing connections.
	firstFreePort = 12000
	lastFreePort  = 32000
)

// nextFreePort counts the ports that FreeAddress has tried.
var nextFreePort atomic.Int32

// maxLoopbackIPs is the number of addresses that a process gets from LoopbackIP.
const maxLoopbackIPs = 60

// LoopbackIP returns one of maxLoopbackIPs loopback addresses that no other process,
// among those with ids below 2^18, gets from this function at the same time. So two
// test runs on a machine do not reach each other's servers.
func LoopbackIP(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", (pid>>16&3)<<6|(index%maxLoopbackIPs+1), pid>>8&0xff, pid&0xff)
}

// FreeAddress returns an address on the first LoopbackIP on which nothing listens. It never
// returns the same address twice in a process.
func FreeAddress() (string, error) {
	for {
		port := firstFreePort + nextFreePort.Add(1)
		if port > lastFreePort {
			return "", errors.New("all ports have been used")
		}
		address := net.JoinHostPort(LoopbackIP(0), fmt.Sprint(port))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
}
