package ownaddr

import (
	"net"
	"testing"
)

// Symptom: a listener that was closed could not be opened again. Sequence: the system hands its port out to an outgoing connection
// meanwhile. Cause: the port was from the range of those. Here hundreds of outgoing connections are made in between, to the
// address itself and to another.
func TestAnAddressIsFreeAgainAfterManyConnections(t *testing.T) {
	addr := New()
	for round := range 5 {
		on, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		for range 200 {
			out, err := net.Dial("tcp4", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer out.Close()
			if out.LocalAddr().String() == addr {
				t.Fatalf("an outgoing connection was given %s", addr)
			}
			in, err := on.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if err := in.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if err := on.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Addresses differ, so that tests that run beside each other have one each.
func TestAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addr := New()
		if seen[addr] {
			t.Fatalf("%s was given twice", addr)
		}
		seen[addr] = true
	}
}
