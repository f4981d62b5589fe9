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
	taskErr := make(chan error)
	go func() { taskErr <- task.run(context.Background()) }()
	task.drain(t.Context())
	if !hasHandedOver {
		t.Error("drain returned before the task had ended, want it to wait")
	}
	if err := <-taskErr; err != nil {
		t.Error(err)
	}
}

func TestDrainStopsWaitingWhenContextEnds(t *testing.T) {
	task := newDrainableTask(nil) // run is never called
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	task.drain(ctx)
}

// flakyHostList is a list of one host whose reads fail while isFailing is true.
type flakyHostList struct{ isFailing bool }

func (f *flakyHostList) Hosts(context.Context) ([]platform.Host, error) {
	if f.isFailing {
		return nil, errs.New(errs.NoTarget, "down")
	}
	return []platform.Host{{ID: "a"}}, nil
}

// Guards against replacing the host list by an empty one after a failed read: every job shard would change
// its owner.
func TestCachedHostListKeepsLastList(t *testing.T) {
	list := &flakyHostList{}
	cached := &cachedHostList{HostList: list}
	if cached.lastHosts() != nil {
		t.Error("lastHosts returns a list before the first read, want nil")
	}
	_, _ = cached.Hosts(t.Context())
	list.isFailing = true
	if _, err := cached.Hosts(t.Context()); !errs.Is(err, errs.NoTarget) {
		t.Errorf("failed read of the host list: error %v, want type no_target", err)
	}
	if hosts := cached.lastHosts(); len(hosts) != 1 {
		t.Errorf("lastHosts returns %d hosts after a failed read, want the 1 read before", len(hosts))
	}
}
