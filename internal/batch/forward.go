package batch

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/structs"
)

const (
	// forwardItems is how many outcomes one call passes on at most.
	forwardItems = 1024
	// forwardTimeout bounds the passing on of outcomes to the shard's owner. The
	// sides keep them until they are acknowledged.
	forwardTimeout = 20 * time.Second
)

// forwarder passes outcomes on to the owners of their shards, one call a shard
// at a time: after the loss of an owner all that its sides finish meanwhile comes in here,
// and a search for the new owner for each would be a flood.
type forwarder struct {
	m *Manager

	mu     sync.Mutex
	bytes  int
	queues map[structs.Shard][]forwarded
}

// forwarded is one outcome on its way to the owner.
type forwarded struct {
	side structs.HostID
	done *structs.ItemDone
	ack  func()
}

func newForwarder(m *Manager) *forwarder {
	return &forwarder{m: m, queues: make(map[structs.Shard][]forwarded)}
}

// add queues an outcome. Over the bound on held outcomes it is dropped: the side sends it again.
func (f *forwarder) add(o forwarded) {
	id := o.done.Ref.Shard
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bytes > f.m.set.MaxHeldBytes {
		return
	}
	f.bytes += len(o.done.Body) + recordOverhead
	queue, running := f.queues[id]
	f.queues[id] = append(queue, o)
	if !running {
		go f.run(id)
	}
}

// run passes on what is queued for a shard until nothing is left.
func (f *forwarder) run(id structs.Shard) {
	for {
		batch := f.take(id)
		if len(batch) == 0 {
			return
		}
		f.pass(id, batch)
	}
}

// take returns the next outcomes; with none left it ends the queue.
func (f *forwarder) take(id structs.Shard) []forwarded {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := f.queues[id]
	n, size := 0, 0
	for n < len(queue) && n < forwardItems && size < maxEnvelope {
		size += len(queue[n].done.Body) + recordOverhead
		n++
	}
	f.bytes -= size
	if n == 0 {
		delete(f.queues, id)
		return nil
	}
	f.queues[id] = queue[n:]
	return queue[:n]
}

func (f *forwarder) pass(id structs.Shard, batch []forwarded) {
	ctx, cancel := context.WithTimeout(f.m.life, forwardTimeout)
	defer cancel()
	r := &PeerRequest{Op: OpDone}
	for _, o := range batch {
		r.Done = append(r.Done, SideDone{Side: o.side, Done: o.done})
	}
	reply, err := f.m.call(ctx, id, r)
	if err != nil {
		f.m.log.Debug("outcomes not passed on", "shard", id, "outcomes", len(batch), "err", err)
		return
	}
	for _, i := range reply.Acked {
		if i >= 0 && i < len(batch) {
			batch[i].ack()
		}
	}
}
