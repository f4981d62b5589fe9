package batch

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// OnItemDone takes the outcome of an item from a side. If this entry does not
// own the shard, the outcome is passed on to the owner. The side gets an ItemAck
// once the outcome is in the log or has no effect any more.
func (m *Manager) OnItemDone(side structs.HostID, send Send, d *structs.ItemDone) {
	ack := func() {
		_ = send(&structs.Frame{ItemAck: &structs.ItemAck{Refs: []structs.ItemRef{d.Ref}}})
	}
	if s := m.shard(d.Ref.Shard); s != nil && s.itemDone(side, d, ack) {
		return
	}
	m.forward.add(forwarded{side: side, done: d, ack: ack})
}

// itemDone takes an outcome as the owner and calls ack, under s.mu, when the side may
// forget it. It says false if this entry does not own the shard.
func (s *shard) itemDone(side structs.HostID, d *structs.ItemDone, ack func()) bool {
	key := jobs.Key{Job: d.Ref.Job, Index: d.Ref.Index}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.releasing {
		return false
	}
	j := s.state.Jobs[key.Job]
	if j == nil || !j.Open(key.Index) {
		s.sched.Drop(key)
		s.signal()
		ack()
		return true
	}
	if s.sched.IsReported(key) {
		s.acks[key] = append(s.acks[key], ack)
		return true
	}
	// The bound is firm here: the estimate that stops the handing out can be
	// wrong, and the side keeps the outcome and sends it again.
	if s.m.held.Load()+int64(len(d.Body)) > int64(s.m.set.MaxHeldBytes) {
		s.sched.Extend(key, s.m.now().Add(s.m.set.ItemTimeout))
		return true
	}
	lease, held := s.sched.Lease(key)
	verdict := jobs.Judge(d, j.Once(key.Index), j.Trouble(key.Index), s.m.set.ItemAttempts)
	if s.outdated(d, verdict, lease, held) {
		ack()
		return true
	}
	if held && !lease.Unsent && lease.Side != side {
		s.stopDouble(key, lease.Side)
	}
	s.judged(d, key, verdict, lease, ack)
	return true
}

// stopDouble ends the run of an item that was handed out again, now that its first
// side has reported after all.
func (s *shard) stopDouble(key jobs.Key, side structs.HostID) {
	if side != "" {
		s.m.sides.send(side, &structs.Frame{ItemStop: &structs.ItemStop{Job: key.Job, Index: key.Index}})
	}
}

// outdated says whether a failed attempt is of no interest: the item was handed
// out again since. A result counts whichever attempt it is from.
func (s *shard) outdated(d *structs.ItemDone, v jobs.Judgement, lease jobs.Lease, held bool) bool {
	if v.Verdict == jobs.Finish && v.Err == nil || !held || lease.Side == "" {
		return false
	}
	return d.Ref.Attempt < lease.Attempt || d.Ref.Epoch < s.epoch && !s.adopted(d.Ref.Epoch)
}

// adopted says whether a lease of an older epoch can still be the present one: it
// was taken over at a planned handover. The attempt's number then tells them apart.
func (s *shard) adopted(structs.Epoch) bool { return len(s.state.Leases) > 0 }

// judged acts on a verdict; s.mu is held.
func (s *shard) judged(d *structs.ItemDone, key jobs.Key, v jobs.Judgement, lease jobs.Lease, ack func()) {
	now := s.m.now()
	switch v.Verdict {
	case jobs.Again:
		s.sched.Return(now, key, 0)
		s.m.wakeDispatch()
		ack()
	case jobs.Charge, jobs.Crash:
		s.charge(key, v.Verdict == jobs.Crash, ack)
	case jobs.Reopen:
		s.reopen(key)
		ack()
	case jobs.Finish:
		s.acks[key] = append(s.acks[key], ack)
		result := structs.ItemResult{
			Index: key.Index, Status: d.Status, Body: d.Body, Err: v.Err, Attempt: d.Ref.Attempt,
		}
		if v.Err == nil && len(result.Body) > maxResult {
			result.Err = errs.Newf(errs.BodyTooLarge, "the result has %d bytes, over the bound of %d",
				len(result.Body), maxResult).WithRan(errs.RanYes)
		}
		if result.Err != nil {
			result.Body, result.Err = nil, shortened(result.Err)
		}
		s.finish(key, result, lease.CustomID)
	}
}

const (
	// maxResult bounds the result of one item, in bytes: it must fit into an append.
	maxResult = 512 << 10
	// maxDetail bounds the text of an error result, in bytes.
	maxDetail = 2 << 10
)

func shortened(e *errs.Error) *errs.Error {
	if len(e.Detail) <= maxDetail {
		return e
	}
	c := *e
	c.Detail = c.Detail[:maxDetail]
	return &c
}

// charge counts a failed attempt in the log and hands the item out again; s.mu is held.
func (s *shard) charge(key jobs.Key, crash bool, ack func()) {
	s.sched.Reported(key)
	ok := s.propose(&proposal{
		record: structs.JobRecord{Charge: &structs.ItemCharge{Job: key.Job, Index: key.Index, Crash: crash}},
		bytes:  recordOverhead,
		applied: func() {
			t := structs.JobID(key.Job)
			charges := 0
			if j := s.state.Jobs[t]; j != nil && !crash {
				charges = j.Trouble(key.Index).Charges
			}
			s.sched.Return(s.m.now(), key, charges)
			s.m.wakeDispatch()
			ack()
		},
	})
	if !ok {
		s.sched.Drop(key)
	}
}

// finish proposes the result of an item; s.mu is held. A result carries the caller's
// name of the item, which is known from the handing out, or read from the item's
// body after a takeover.
func (s *shard) finish(key jobs.Key, r structs.ItemResult, customID string) {
	s.sched.Reported(key)
	if customID != "" {
		r.CustomID = customID
		s.proposeResult(key, r)
		return
	}
	j := s.state.Jobs[key.Job]
	seg, pos, ok := j.Locate(key.Index)
	if !ok {
		return
	}
	if items, ok := s.m.cache.get(segmentKey{key.Job, seg}); ok && pos < len(items) {
		r.CustomID = items[pos].CustomID
		s.proposeResult(key, r)
		return
	}
	epoch := s.epoch
	go s.nameResult(epoch, key, seg, r)
}

// nameResult reads the item's name and proposes its result, under the epoch in
// which it was reported.
func (s *shard) nameResult(epoch structs.Epoch, key jobs.Key, seg int, r structs.ItemResult) {
	for s.ownerEpoch() == epoch {
		item, err := s.item(s.m.life, key.Job, seg, key.Index)
		if errs.Is(err, errs.LogDown) {
			if !sleep.For(s.m.life, readBackoff) {
				return
			}
			continue
		}
		r.CustomID = item.CustomID
		s.mu.Lock()
		if s.epoch == epoch {
			s.proposeResult(key, r)
		}
		s.mu.Unlock()
		return
	}
}

func (s *shard) proposeResult(key jobs.Key, r structs.ItemResult) {
	size := len(r.Body) + len(r.CustomID) + recordOverhead
	s.m.seenResults.Add(1)
	s.m.seenBytes.Add(int64(size))
	ok := s.propose(&proposal{job: key.Job, result: &r, bytes: size, held: true})
	if !ok {
		s.sched.Drop(key)
	}
}

// expire deals with items whose lease has run out; s.mu is held.
func (s *shard) expire(now time.Time) {
	for _, key := range s.sched.Expired(now) {
		j := s.state.Jobs[key.Job]
		if j == nil || !j.Open(key.Index) {
			s.sched.Drop(key)
			continue
		}
		lease, _ := s.sched.Lease(key)
		s.m.log.Debug("item lease ran out", "shard", s.id, "job", key.Job, "item", key.Index, "side", lease.Side)
		switch {
		case j.Once(key.Index):
			s.finish(key, structs.ItemResult{Index: key.Index, Err: jobs.UnknownResult()}, lease.CustomID)
		case lease.Side != "" && s.m.sides.isOpen(lease.Side):
			// The side is there and has not ended the item within its time.
			d := &structs.ItemDone{
				Ref: structs.ItemRef{Job: key.Job, Index: key.Index, Attempt: lease.Attempt},
				Err: errs.New(errs.TargetTimeout, "no outcome within the item's time"),
			}
			v := jobs.Judge(d, false, j.Trouble(key.Index), s.m.set.ItemAttempts)
			s.judged(d, key, v, lease, func() {})
		default:
			s.sched.Return(now, key, 0)
		}
	}
}

// stopCancelled tells sides to stop the items of jobs that were just cancelled; s.mu
// is held. All sides are told, not only those with a lease: an owner that was lost may have
// handed out items that this one does not know of, and a side starts them again when that
// owner wakes.
func (s *shard) stopCancelled(eff *jobs.Effects) {
	for _, id := range eff.Cancelled {
		s.m.sides.sendAll(stopAll(id))
	}
}

func stopAll(id structs.JobID) *structs.Frame {
	return &structs.Frame{ItemStop: &structs.ItemStop{Job: id, All: true}}
}

// stopRecent repeats the stop of jobs that were cancelled lately, for a side that has just
// come, or by a new owner: the one before may have been lost before it told the sides; s.mu is held.
func (s *shard) stopRecent(send func(*structs.Frame)) {
	if s.epoch == 0 {
		return
	}
	since := s.m.now().Add(-stopRepeat).UnixMilli()
	for id, j := range s.state.Jobs {
		if j.Cancelled && j.EndedMs >= since {
			send(stopAll(id))
		}
	}
}

// stopRepeat is for how long a cancel is told to sides that come: longer than a side
// keeps an item whose owner it does not hear.
const stopRepeat = 10 * time.Minute

// cancel cancels a job and returns when no item of it starts any more.
func (s *shard) cancel(ctx context.Context, job structs.JobID, by string) error {
	s.mu.Lock()
	j := s.state.Jobs[job]
	if j == nil || !j.Accepted {
		s.mu.Unlock()
		return errs.New(errs.NotFound, "no such job")
	}
	if !j.Ended() {
		p := &proposal{
			record: structs.JobRecord{Cancel: &structs.JobCancel{Job: job, By: by}},
			bytes:  recordOverhead,
		}
		s.propose(p)
		s.mu.Unlock()
		if err := s.await(ctx, p); err != nil {
			return err
		}
		s.m.log.Info("job cancelled", "shard", s.id, "job", job, "by", by)
	} else {
		if j.Cancelled {
			s.m.sides.sendAll(stopAll(job))
		}
		s.mu.Unlock()
	}
	s.awaitStopped(ctx, job)
	return nil
}

// awaitStopped waits until the sides that hold items of a cancelled job have
// ended them, or can't start them any more: a side starts an item only if it has heard
// from its owner's session within ItemLease.
func (s *shard) awaitStopped(ctx context.Context, job structs.JobID) {
	limit := sleep.NewTimer(2 * s.m.tune.ItemLease)
	defer limit.Stop()
	s.awaitUnknown(ctx)
	for {
		s.mu.Lock()
		held := 0
		if s.sched != nil {
			held = len(s.sched.Holders(job))
		}
		changed := s.changed
		s.mu.Unlock()
		if held == 0 {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitUnknown waits for ItemLease where sides may hold items that a lost owner has handed out:
// they confirm nothing to this one.
func (s *shard) awaitUnknown(ctx context.Context) {
	s.mu.Lock()
	unknown := s.m.now().Before(s.unknownUntil)
	s.mu.Unlock()
	if unknown {
		sleep.For(ctx, s.m.tune.ItemLease)
	}
}
