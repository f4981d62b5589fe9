package node

import (
	"context"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// Guards against job shards that stay without an owner for a whole lease after a planned stop: if drain
// returns before the task has ended, the listeners close before the owner has handed its shards over.
func TestDrainWaitsForTask(t *testing.T) {
	hasHandedOver := false
	task := newDrainableTask(func(ctx context.Context) error {
		<-ctx.Done()
		hasHandedOver = true
		return nil
	})
	end := make(chan error)
	go func() { end <- task.run(context.Background()) }()
	task.drain(t.Context())
	if !hasHandedOver {
		t.Error("drain returned before the task had ended")
	}
	if err := <-end; err != nil {
		t.Error(err)
	}
}

func TestDrainStopsWaitingWhenContextEnds(t *testing.T) {
	task := newDrainableTask(nil) // run is never called
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	task.drain(ctx)
}

type flakyHostList struct{ fail bool }

func (f *flakyHostList) Hosts(context.Context) ([]platform.Host, error) {
	if f.fail {
		return nil, errs.New(errs.NoTarget, "down")
	}
	return []platform.Host{{ID: "a"}}, nil
}

// Guards against replacing the host list by an empty one after a failed read: every job shard would change
// its owner.
func TestCachedHostListKeepsLastList(t *testing.T) {
	list := &flakyHostList{}
	m := &cachedHostList{HostList: list}
	if m.lastHosts() != nil {
		t.Error("hosts known before the first read")
	}
	_, _ = m.Hosts(t.Context())
	list.fail = true
	if _, err := m.Hosts(t.Context()); !errs.Is(err, errs.NoTarget) {
		t.Errorf("got %v", err)
	}
	if hosts := m.lastHosts(); len(hosts) != 1 {
		t.Errorf("%d hosts known after a failed read", len(hosts))
	}
}
