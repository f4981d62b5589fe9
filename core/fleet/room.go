package fleet

import "time"

// batchGainTime is how long after its start a batch item has its first events: until then a preemption loses
// all that the run has cost.
const batchGainTime = 400 * time.Millisecond

// NoteOverload records that this gateway has rejected or queued an online request of a service.
func (f *Fleet) NoteOverload(now time.Time, service string) {}

// ownOverloads returns the services of which this gateway has recently rejected or queued requests.
func (f *Fleet) ownOverloads(now time.Time) []string { return nil }
