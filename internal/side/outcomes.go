package side

import (
	"time"

	"arbutusramp/core/structs"
)

const (
	// maxHeldBytes bounds the outcomes that wait for an acknowledgement.
	maxHeldBytes = 32 << 20
	// typicalOutcome is the size that is reckoned with for an outcome to come, in bytes.
	typicalOutcome = 16 << 10
	// heldAgain is when an outcome without acknowledgement is sent again.
	heldAgain = 5 * time.Second
	// heldFor is when an outcome is given up; its owner runs the item again.
	heldFor = 15 * time.Minute
)

// outcome is one ItemDone that no owner has acknowledged.
type outcome struct {
	owner structs.HostID
	done  *structs.ItemDone
	since time.Time
	sent  time.Time
}

// outcomes hold ItemDones in bounded memory. Without them a result that was computed is
// lost with the session that it was sent on, and the item runs twice.
type outcomes struct {
	m     map[itemKey]*outcome
	bytes int
}

func sizeOf(d *structs.ItemDone) int {
	const base = 256
	return base + len(d.Body)
}

func (o *outcomes) add(owner structs.HostID, d *structs.ItemDone, now time.Time) {
	key := keyOf(d.Ref)
	o.drop(key)
	o.m[key] = &outcome{owner: owner, done: d, since: now, sent: now}
	o.bytes += sizeOf(d)
}

func (o *outcomes) drop(key itemKey) {
	if old, ok := o.m[key]; ok {
		o.bytes -= sizeOf(old.done)
		delete(o.m, key)
	}
}

// ack forgets the outcome of ref. One of a newer run is kept.
func (o *outcomes) ack(ref structs.ItemRef) {
	if held, ok := o.m[keyOf(ref)]; ok && held.done.Ref == ref {
		o.drop(keyOf(ref))
	}
}

// adopt returns the held outcome of an item that a new owner sends, under the
// new reference. An outcome without a result is dropped, so that the item runs again.
func (o *outcomes) adopt(key itemKey, owner structs.HostID, ref structs.ItemRef) *structs.ItemDone {
	held, ok := o.m[key]
	if !ok {
		return nil
	}
	if held.done.Err != nil && held.done.Ref != ref {
		o.drop(key)
		return nil
	}
	d := *held.done
	d.Ref = ref
	held.owner, held.done = owner, &d
	return &d
}

func (o *outcomes) all() []*structs.ItemDone {
	all := make([]*structs.ItemDone, 0, len(o.m))
	for _, held := range o.m {
		all = append(all, held.done)
	}
	return all
}

// due returns what is to be sent again, and gives up what was held for too long.
func (o *outcomes) due(now time.Time) []outcome {
	var due []outcome
	for key, held := range o.m {
		switch {
		case now.Sub(held.since) > heldFor:
			o.drop(key)
		case now.Sub(held.sent) > heldAgain:
			held.sent = now
			due = append(due, *held)
		}
	}
	return due
}

// spare is for how many more outcomes there is room.
func (o *outcomes) spare() int { return max(0, (maxHeldBytes-o.bytes)/typicalOutcome) }
