package fleet

import (
	"slices"
	"time"
)

// overload is a service of which gateways have rejected or queued online requests.
type overload struct {
	began     time.Time
	lastNoted time.Time // when this gateway last noted it or received a report of it
	ownNoted  time.Time // when this gateway last noted it itself; zero if never
	source    Peer      // gateway that has noted it first
	isTaken   bool      // TakeOverloadChanges has returned its begin
}

// OverloadChange is the begin or the end of an overload of a service.
type OverloadChange struct {
	Service      string
	IsOverloaded bool
	Source       Peer          // gateway that has noted it first
	Age          time.Duration // time since its begin
	YieldTime    time.Duration // time after the last report of it in which no batch items start
	Online       float64       // current number of online requests
	Slots        int
}

// NoteOverload records that this gateway has rejected or queued an online request of a service. It reports
// whether the peers do not know of the overload yet.
func (f *Fleet) NoteOverload(now time.Time, service string) (isNew bool) {
	o := f.noteOverload(now, service, f.opts.Self)
	if o == nil {
		return false
	}
	isNew = !o.isReported(now)
	o.ownNoted = now
	return isNew
}

// noteOverload records an overload that a gateway has noted; nil if it has no effect.
func (f *Fleet) noteOverload(now time.Time, service string, source Peer) *overload {
	if !f.yieldsInOverload(service) {
		return nil
	}
	o, ok := f.overloads[service]
	if !ok {
		f.dropEndedOverloads(now)
		if len(f.overloads) >= maxOverloads {
			return nil
		}
		o = &overload{}
		f.overloads[service] = o
	}
	if !ok || !o.isTaken && !f.isYielding(now, service) {
		o.began, o.source = now, source
	}
	o.lastNoted = now
	return o
}

// dropEndedOverloads drops overloads that have ended and are no longer reported, except those whose end
// TakeOverloadChanges still returns.
func (f *Fleet) dropEndedOverloads(now time.Time) {
	for service, o := range f.overloads {
		if !o.isTaken && !f.isYielding(now, service) && !o.isReported(now) {
			delete(f.overloads, service)
		}
	}
}

// isReported reports whether this gateway reports the overload to its peers.
func (o *overload) isReported(now time.Time) bool {
	return !o.ownNoted.IsZero() && now.Sub(o.ownNoted) <= overloadReportTime
}

// applyOverloads records the overloads that a peer has reported.
func (f *Fleet) applyOverloads(now time.Time, from Peer, services []string) {
	for _, service := range services {
		f.noteOverload(now, service, from)
	}
}

// ownOverloads returns the sorted services of which this gateway has recently rejected or queued requests.
func (f *Fleet) ownOverloads(now time.Time) []string {
	var services []string
	for service, o := range f.overloads {
		if o.isReported(now) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// TakeOverloadChanges returns the overloads that have begun or ended since the last call.
func (f *Fleet) TakeOverloadChanges(now time.Time) []OverloadChange {
	var list []OverloadChange
	for service, o := range f.overloads {
		isOverloaded := f.isYielding(now, service)
		if isOverloaded != o.isTaken {
			list = append(list, OverloadChange{
				Service: service, IsOverloaded: isOverloaded, Source: o.source, Age: now.Sub(o.began), YieldTime: f.yieldTime(service),
				Online: f.demands.Summary(service).Online, Slots: f.totalSlots(now, Work{Service: service}),
			})
			o.isTaken = isOverloaded
		}
	}
	f.dropEndedOverloads(now)
	return list
}
