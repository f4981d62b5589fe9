// Package ownaddr gives tests loopback addresses whose ports are handed out to nobody else.
//
// What goes wrong without it: the system takes the port of each outgoing connection, and each port that it chooses for a
// listener, from one range. A listener that was closed, or that needs the same number for datagrams and connections, may find
// its port taken by a connection of any other process. It is noticed as a test that now and then fails with "address
// already in use", most of all on a busy machine.
package ownaddr

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are below the range from which systems hand them out (32768 to 60999 on Linux, 49152 to 65535 elsewhere).
const leastPort, mostPort = 20_000, 32_000

// lastOctet bounds each of the last three numbers of an address.
const lastOctet = 254

// tries bounds how many addresses are looked at. One of them is taken by chance once in millions of calls.
const tries = 20

// New returns a loopback address (IP:port) that nobody listens at, neither for connections nor for datagrams. The IP is drawn,
// too: outgoing connections have 127.0.0.1, so that only who is given the address uses it.
func New() string {
	addr := draw()
	for range tries {
		if free(addr) {
			break
		}
		addr = draw()
	}
	return addr
}

func draw() string {
	octet := func() int { return 1 + rand.IntN(lastOctet) }
	return fmt.Sprintf("127.%d.%d.%d:%d", octet(), octet(), octet(), leastPort+rand.IntN(mostPort-leastPort))
}

// free says whether the address can be listened at now, for both kinds.
func free(addr string) bool {
	on, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer on.Close()
	datagrams, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}
