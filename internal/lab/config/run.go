package config

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/standin/logsvc"
)

const (
	// perDocument bounds the workspaces of one document at the start.
	perDocument = 500
	// levelLimit is how long the processes may take to come level after the last change
	// before they are compared as they are.
	levelLimit = 2 * inForceLimit
)

// usage is what was used up to a point in time.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes []int64
	reads int64
}

func (b *bench) usage() usage {
	u := usage{at: time.Now(), cpu: cpuTime(), reads: b.log.Stats().Reads}
	for _, m := range b.meters {
		u.bytes = append(u.bytes, m.bytes.Load())
	}
	return u
}

// rates are usage a second and node.
type rates struct {
	bytes, worst, cpu, reads float64
}

func (u usage) since(before usage) rates {
	seconds := u.at.Sub(before.at).Seconds()
	var r rates
	for n := range u.bytes {
		perS := float64(u.bytes[n]-before.bytes[n]) / seconds
		r.bytes += perS / float64(len(u.bytes))
		r.worst = max(r.worst, perS)
	}
	r.cpu = (u.cpu - before.cpu).Seconds() / seconds / float64(len(u.bytes))
	r.reads = float64(u.reads-before.reads) / seconds
	return r
}

func (b *bench) run(ctx context.Context) (Report, error) {
	if err := b.populate(ctx); err != nil {
		return Report{}, err
	}
	if err := b.level(ctx); err != nil {
		return Report{}, err
	}
	pause(ctx, 2*time.Second)
	start := b.usage()
	pause(ctx, b.o.Idle)
	idle := b.usage().since(start)
	start = b.usage()
	if err := b.change(ctx); err != nil {
		return Report{}, err
	}
	busy := b.usage().since(start)
	if err := b.level(ctx); err != nil {
		return Report{}, err
	}
	if err := b.checkEnd(); err != nil {
		return Report{}, err
	}
	return b.report(idle, busy), nil
}

// level waits until all processes have the last change.
func (b *bench) level(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, levelLimit)
	defer cancel()
	var last structs.Version
	for _, n := range b.nodes {
		last = max(last, n.follow.Current().Version)
	}
	for _, n := range b.nodes {
		if _, err := n.follow.WaitFor(limited, last); err != nil && ctx.Err() != nil {
			return errs.New(errs.Cancelled, ctx.Err().Error())
		}
	}
	return nil
}

// populate puts workspaces into the configuration, so that States have a size.
func (b *bench) populate(ctx context.Context) error {
	for from := 0; from < b.o.Workspaces; from += perDocument {
		var doc strings.Builder
		for n := from; n < min(b.o.Workspaces, from+perDocument); n++ {
			fmt.Fprintf(&doc, "[workspace w%d]\nkeys = a key of workspace number %d\nburst = 10\n", n, n)
		}
		if _, err := b.confirm(ctx, 0, doc.String()); err != nil {
			return err
		}
	}
	return nil
}

// confirm plans and confirms doc at an entry.
func (b *bench) confirm(ctx context.Context, at int, doc string) (change, error) {
	c := b.client(at)
	p, err := c.Plan(ctx, "lab", []byte(doc))
	if err != nil {
		return change{}, err
	}
	sent := time.Now()
	done, err := c.Confirm(ctx, p)
	if err != nil {
		return change{}, err
	}
	return change{version: done.Version, sent: sent, answered: time.Since(sent)}, nil
}

// change confirms random changes at the run's rate, and replaces processes and
// takes the log down on the way.
func (b *bench) change(ctx context.Context) error {
	start := time.Now()
	count := max(1, int(b.o.Duration.Seconds()*b.o.Changes))
	gap := time.Duration(float64(time.Second) / b.o.Changes)
	restartEvery := count + 1
	if b.o.Restarts > 0 {
		restartEvery = max(1, count/b.o.Restarts)
	}
	restarted := 0
	for n := range count {
		pause(ctx, time.Until(start.Add(time.Duration(n)*gap)))
		if ctx.Err() != nil {
			return errs.New(errs.Cancelled, ctx.Err().Error())
		}
		if b.o.LogOutage > 0 && n == count/2 {
			b.log.Turn(func(k *logsvc.Knobs) { k.Outage = true })
			time.AfterFunc(b.o.LogOutage, func() { b.log.Turn(func(k *logsvc.Knobs) { k.Outage = false }) })
		}
		if err := b.changeOne(ctx, n); err != nil {
			return err
		}
		if restarted < b.o.Restarts && n%restartEvery == restartEvery-1 {
			restarted++
			if err := b.replace(ctx); err != nil {
				return err
			}
		}
	}
	pause(ctx, time.Until(start.Add(b.o.Duration)))
	return nil
}

func (b *bench) changeOne(ctx context.Context, n int) error {
	c, err := b.confirm(ctx, n, b.document(n))
	switch {
	case err == nil:
		b.changes = append(b.changes, c)
		return nil
	case errs.Is(err, errs.StalePlan):
		b.stale++ // it was planned at an entry that did not have the last change yet
		return nil
	case errs.Is(err, errs.LogDown), errs.Is(err, errs.AppendUnknown):
		b.refused++
		return nil
	}
	return err
}

// document is one of the changes that are usual.
func (b *bench) document(n int) string {
	switch b.rng.IntN(4) {
	case 0:
		return fmt.Sprintf("[keys w%d]\nadd = a-further-key-number-%d\n", b.rng.IntN(b.o.Workspaces), n)
	case 1:
		return fmt.Sprintf("[model m%d]\nversion = %d\nreplicas = %d\n", b.rng.IntN(14), n, 1+b.rng.IntN(50))
	case 2:
		return fmt.Sprintf("[policy]\nheadroom = %.2f\n", b.rng.Float64())
	}
	return fmt.Sprintf("[workspace w%d]\nrequests_per_s = %d\n", b.rng.IntN(b.o.Workspaces), 1+b.rng.IntN(100))
}

// replace ends one process and starts a new one in its place. Those that serve
// the administration API stay, since the lab talks to them.
func (b *bench) replace(ctx context.Context) error {
	if b.o.Followers <= adminNodes {
		return nil
	}
	at := adminNodes + b.rng.IntN(b.o.Followers-adminNodes)
	old := b.nodes[at]
	old.stop()
	var confirmed structs.Version
	if len(b.changes) > 0 {
		confirmed = b.changes[len(b.changes)-1].version
	}
	n, err := b.startNode(old.host, b.meters[at])
	if err != nil {
		return err
	}
	n.startedAt = confirmed
	b.join(n, at)
	if err := b.awaitReady(ctx, []*node{n}); err != nil {
		return err
	}
	if v := n.follow.Current().Version; v < confirmed {
		b.violation("%s was ready at version %d, after %d was confirmed", n.host.ID, v, confirmed)
	}
	return nil
}

func (b *bench) report(idle, busy rates) Report {
	r := Report{
		Followers:    b.o.Followers,
		Domains:      b.o.Domains,
		Workspaces:   b.o.Workspaces,
		Confirmed:    len(b.changes),
		Refused:      b.refused,
		Stale:        b.stale,
		ChangesPerS:  float64(len(b.changes)) / b.o.Duration.Seconds(),
		BytesPerNode: busy.bytes,
		BytesWorst:   busy.worst,
		BytesIdle:    idle.bytes,
		CPUShare:     busy.cpu,
		CPUShareIdle: idle.cpu,
		LogReadsPerS: idle.reads,
		Restarts:     len(b.gone),
	}
	atTarget := func(idle, busy float64) float64 {
		if r.ChangesPerS == 0 {
			return idle
		}
		return idle + max(0, busy-idle)/r.ChangesPerS*targetChangesPerS
	}
	r.BytesAtTarget = atTarget(idle.bytes, busy.bytes)
	r.BytesWorstAtTarget = atTarget(idle.worst, busy.worst)
	r.CPUShareAtTarget = atTarget(idle.cpu, busy.cpu)
	r.HeapPerNode = heapInUse() / float64(b.o.Followers)
	b.times(&r)
	r.VersionRegressions = b.regressed
	for _, n := range slices.Concat(b.nodes, b.gone) {
		r.VersionRegressions += n.back
	}
	r.Violations = b.violations + r.VersionRegressions - b.regressed
	r.Details = b.details
	return r
}

func (b *bench) times(r *Report) {
	var inForce, confirm []time.Duration
	for _, c := range b.changes {
		last := b.lastInForce(c)
		if last > inForceLimit {
			b.violation("version %d was in force everywhere only after %v", c.version, last)
		}
		inForce = append(inForce, last)
		confirm = append(confirm, c.answered)
	}
	r.InForceP50 = percentile(inForce, 50)
	r.InForceP99 = percentile(inForce, 99)
	r.InForceMax = percentile(inForce, 100)
	r.ConfirmP99 = percentile(confirm, 99)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
