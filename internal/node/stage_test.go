package node

import (
	"context"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// Symptom: job shards stay without an owner for a whole lease after a planned stop.
// Events: a host is told to stop, its listeners close, and only then the owner
// tries to hand its shards over.
// Cause: a drain that returns before the owner's work has ended.
func TestDrainWaitsForTheWork(t *testing.T) {
	handedOver := false
	s := newStage(func(ctx context.Context) error {
		<-ctx.Done()
		handedOver = true
		return nil
	})
	end := make(chan error)
	go func() { end <- s.run(context.Background()) }()
	s.drain(t.Context())
	if !handedOver {
		t.Error("drain returned before the work had ended")
	}
	if err := <-end; err != nil {
		t.Error(err)
	}
}

func TestDrainGivesUpWithItsContext(t *testing.T) {
	s := newStage(nil) // never run
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.drain(ctx)
}

type flakyHosts struct{ fail bool }

func (f *flakyHosts) Hosts(context.Context) ([]platform.Host, error) {
	if f.fail {
		return nil, errs.New(errs.NoTarget, "down")
	}
	return []platform.Host{{ID: "a"}}, nil
}

// Symptom: every job shard changes its owner while the host list is down.
// Events: one read of the host list fails.
// Cause: a failed read that is kept as an empty list.
func TestMembersKeepTheLastList(t *testing.T) {
	list := &flakyHosts{}
	m := &members{HostList: list}
	if m.known() != nil {
		t.Error("hosts known before the first read")
	}
	_, _ = m.Hosts(t.Context())
	list.fail = true
	if _, err := m.Hosts(t.Context()); !errs.Is(err, errs.NoTarget) {
		t.Errorf("got %v", err)
	}
	if hosts := m.known(); len(hosts) != 1 {
		t.Errorf("%d hosts known after a failed read", len(hosts))
	}
}
