package faults

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/standin/hostlist"
	"arbutusramp/standin/logsvc"
	"arbutusramp/test/cluster"
)

// injector carries out a schedule.
type injector struct {
	w  *world
	wg sync.WaitGroup

	// starting is held while processes are replaced: their addresses change.
	starting sync.Mutex

	mu   sync.Mutex
	busy map[structs.HostID]bool // hosts, and things of the platform, that a fault holds
	done map[Kind]int
	// skipped counts faults that found nothing to hit.
	skipped int
	failed  error
}

func newInjector(w *world) *injector {
	return &injector{w: w, busy: make(map[structs.HostID]bool), done: make(map[Kind]int)}
}

// run carries out faults until the last has ended. Error: that of a replacement that did not start.
func (in *injector) run(ctx context.Context, faults []fault) error {
	begun := time.Now()
	for _, f := range faults {
		if !sleep.For(ctx, time.Until(begun.Add(f.At))) {
			break
		}
		in.wg.Go(func() { in.inject(ctx, f) })
	}
	in.wg.Wait()
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.failed
}

func (in *injector) inject(ctx context.Context, f fault) {
	hit := false
	switch f.Kind {
	case KillEntry:
		hit = in.replace(ctx, f, in.one(in.w.Entries, f.Pick), true)
	case StopEntry:
		hit = in.replace(ctx, f, in.one(in.w.Entries, f.Pick), false)
	case KillSide:
		hit = in.replace(ctx, f, in.one(in.sides(), f.Pick), true)
	case StopSide:
		hit = in.replace(ctx, f, in.one(in.sides(), f.Pick), false)
	case KillTarget:
		hit = true
		in.killTarget(f)
	case KillBoth:
		p := append(in.one(in.w.Entries, f.Pick), in.one(in.sides(), f.Pick>>8)...)
		in.killTarget(f)
		hit = in.replace(ctx, f, p, true)
	case KillDomain:
		hit = in.replace(ctx, f, in.domain(f), true)
	case PauseEntry, HidePeers, HideLog, FreezeLog, HideSide:
		hit = in.network(ctx, f)
	case LogOutage, LogHang, LogSlow, LoseAnswers, LogBusy:
		hit = in.log(ctx, f)
	case ListLag, ListOutage:
		hit = in.list(ctx, f)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !hit {
		in.skipped++
		return
	}
	in.done[f.Kind]++
}

func (in *injector) sides() []*cluster.Process {
	return append(append([]*cluster.Process(nil), in.w.EngineSides...), in.w.ServiceSides...)
}

// hold marks host as held by a fault and says whether it was free.
func (in *injector) hold(host structs.HostID) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy[host] {
		return false
	}
	in.busy[host] = true
	return true
}

func (in *injector) free(host structs.HostID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.busy, host)
}

// one holds and returns one of all that no fault holds, none if there is none.
func (in *injector) one(all []*cluster.Process, pick uint64) []*cluster.Process {
	for i := range all {
		p := all[(int(pick%uint64(len(all)))+i)%len(all)]
		if in.hold(p.ID) {
			return []*cluster.Process{p}
		}
	}
	return nil
}

// domain holds and returns what no fault holds in one failure domain. Its targets die at once.
func (in *injector) domain(f fault) []*cluster.Process {
	d := in.w.Entries[f.Pick%uint64(len(in.w.Entries))].Domain
	var all []*cluster.Process
	for _, p := range append(in.sides(), in.w.Entries...) {
		if p.Domain == d && in.hold(p.ID) {
			all = append(all, p)
		}
	}
	for i, p := range in.w.EngineSides {
		if p.Domain == d {
			in.w.Engines[i].Crash()
		}
	}
	for i, p := range in.w.ServiceSides {
		if p.Domain == d {
			in.w.Services[i].Crash(f.For)
		}
	}
	return all
}

func (in *injector) killTarget(f fault) {
	n := f.Pick >> 16 % uint64(engines+services)
	if n < engines {
		in.w.Engines[n].Crash()
		return
	}
	in.w.Services[n-engines].Crash(min(f.For, time.Second))
}

// replace takes processes away and starts them anew after a time.
func (in *injector) replace(ctx context.Context, f fault, all []*cluster.Process, kill bool) bool {
	var ended sync.WaitGroup
	for _, p := range all {
		done := p.Done()
		ended.Go(func() {
			<-done
			in.w.links.Ended(p.ID)
		})
		if kill {
			in.w.hist.lost(p.ID, time.Now(), time.Time{})
			p.Kill()
			continue
		}
		_ = in.w.Leaving(p) // the list is told again when the process is replaced
		p.Stop()
	}
	sleep.For(ctx, f.For)
	ended.Wait()
	in.starting.Lock()
	defer in.starting.Unlock()
	for _, p := range all {
		err := p.Replace(f.Pick&1 == 0)
		if err != nil {
			err = p.Replace(false) // another program has its port
		}
		if err != nil {
			in.fail(err)
			return true
		}
		in.free(p.ID)
	}
	if err := in.w.refreshURLs(); err != nil {
		in.fail(err)
	}
	return len(all) > 0
}

func (in *injector) fail(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.failed == nil {
		in.failed = err
	}
}

// network breaks connections of one entry.
func (in *injector) network(ctx context.Context, f fault) bool {
	p := in.one(in.w.Entries, f.Pick)
	if len(p) == 0 {
		return false
	}
	host := p[0].ID
	defer in.free(host)
	begun := time.Now()
	var undo func()
	switch f.Kind {
	case PauseEntry:
		undo = in.w.links.Freeze(cluster.Of(host))
	case HidePeers:
		undo = in.w.links.Cut(in.w.peersOf(host))
	case HideLog:
		undo = in.w.links.Cut(cluster.Between(host, cluster.LogHost))
	case FreezeLog:
		undo = in.w.links.Freeze(cluster.Between(host, cluster.LogHost))
	case HideSide:
		sides := in.sides()
		undo = in.w.links.Cut(cluster.Between(host, sides[f.Pick>>8%uint64(len(sides))].ID))
	}
	sleep.For(ctx, f.For)
	undo()
	if f.Kind == PauseEntry {
		in.w.hist.lost(host, begun, time.Now())
	}
	return true
}

// peersOf picks the hops between host and other entries.
func (w *world) peersOf(host structs.HostID) func(cluster.Hop) bool {
	others := make(map[structs.HostID]bool)
	for _, p := range w.Entries {
		others[p.ID] = p.ID != host
	}
	return func(h cluster.Hop) bool {
		return h.From == host && others[h.To] || h.To == host && others[h.From]
	}
}

// logQuiet follows each fault of the log service: how long it may be away without an end
// to the promise that results stay readable is a matter of its retention.
const logQuiet = time.Second

func (in *injector) log(ctx context.Context, f fault) bool {
	if !in.hold(cluster.LogHost) {
		return false
	}
	defer in.free(cluster.LogHost)
	begun := time.Now()
	in.w.Log.Turn(func(k *logsvc.Knobs) { turnLog(k, f) })
	sleep.For(ctx, f.For)
	in.w.Log.Turn(healLog)
	sleep.For(ctx, logQuiet)
	in.w.hist.logWasBad(begun, time.Now())
	return true
}

func turnLog(k *logsvc.Knobs, f fault) {
	const slowest = 300 // milliseconds
	switch f.Kind {
	case LogOutage:
		k.Outage = true
	case LogHang:
		k.Hang = true
	case LogSlow:
		k.DelayMs = int64(f.Share * slowest)
	case LoseAnswers:
		k.LoseAnswerShare = f.Share
	case LogBusy:
		k.BusyShare = f.Share
	}
}

func healLog(k *logsvc.Knobs) {
	k.Outage, k.Hang, k.DelayMs, k.LoseAnswerShare, k.BusyShare = false, false, 0, 0, 0
}

func (in *injector) list(ctx context.Context, f fault) bool {
	if !in.hold(cluster.ListHost) {
		return false
	}
	defer in.free(cluster.ListHost)
	in.w.TurnLists(func(k *hostlist.Knobs) {
		k.LagMs = hostListLag.Milliseconds()
		if f.Kind == ListLag {
			k.LagMs = int64(f.Share * float64(lastMost.Milliseconds()))
		}
		k.Outage = f.Kind == ListOutage
	})
	sleep.For(ctx, f.For)
	in.w.TurnLists(healList)
	return true
}

func healList(k *hostlist.Knobs) {
	k.LagMs = hostListLag.Milliseconds()
	k.Outage = false
}
