package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/fairshare"
	"arbutusramp/core/fleet"
)

// Guards against reports that grow with the number of workspaces: with 5,000 of them the usage of a service takes a
// bounded number of bytes; prints it.
func TestUsageOfManyWorkspacesIsBounded(t *testing.T) {
	const maxBytes = 400
	l := fairshare.New(fairshare.Options{Window: 2 * time.Second})
	now := time.Unix(1000, 0)
	for i := range 5000 {
		l.Offer(now, "llm", fmt.Sprint("workspace-", i), time.Duration(i)*time.Millisecond)
		l.Serve(now, "llm", fmt.Sprint("workspace-", i), time.Duration(i)*time.Millisecond)
	}
	without, err := cbor.Marshal(report{})
	if err != nil {
		t.Fatal(err)
	}
	with, err := cbor.Marshal(report{Scheduling: encodeScheduling(fleet.Report{Usage: l.Report(now.Add(time.Second))})})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes without and %d with the usage of 5,000 workspaces", len(without), len(with))
	if added := len(with) - len(without); added > maxBytes {
		t.Errorf("the usage of 5,000 workspaces takes %d bytes, want at most %d", added, maxBytes)
	}
}
