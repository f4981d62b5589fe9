package reconcile

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/confstate"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

func claimBy(t *testing.T, log *logmem.Log, host structs.HostID, prev structs.Epoch) structs.Epoch {
	t.Helper()
	body, err := confstate.Encode(reconcile.ClaimRecord{Host: host, Prev: prev, Op: reconcile.OpClaim, Nonce: string(host)})
	if err != nil {
		t.Fatal(err)
	}
	at, err := log.Append(t.Context(), structs.PlacementStream, body)
	if err != nil {
		t.Fatal(err)
	}
	return structs.Epoch(at)
}

// Symptom: a side that has started takes orders of an owner that was replaced long ago.
// Sequence: the entry has read the claims once; another entry claims; the side asks, at first while the log is
// down. Cause: an answer from what was read before the question.
func TestFencingNumberIsReadAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logmem.New(1)
		follows := true
		f := newFences(log, hclog.NewNullLogger(), func() bool { return follows })
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		defer synctest.Wait()
		defer cancel()
		var told []structs.Epoch
		ask := func() {
			f.ask("side-1", func(fr *structs.Frame) error {
				told = append(told, fr.Fence.Highest)
				return nil
			})
			synctest.Wait()
		}
		ask()
		first := claimBy(t, log, "e1", 0)
		ask()
		second := claimBy(t, log, "e2", first)
		claimBy(t, log, "e3", first) // comes too late and is void
		log.SetFaults(logmem.Faults{Down: true})
		ask()
		if len(told) != 2 {
			t.Fatalf("told %v while the log is down", told)
		}
		log.SetFaults(logmem.Faults{})
		time.Sleep(2 * errorPause)
		synctest.Wait()
		if len(told) != 3 || told[0] != 0 || told[1] != first || told[2] != second {
			t.Fatalf("told %v, want 0, %d, %d", told, first, second)
		}
		follows = false
		ask()
		if len(told) != 3 {
			t.Error("a process that does not follow the claims has answered")
		}
	})
}
