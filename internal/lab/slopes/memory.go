package slopes

import (
	"context"
	"fmt"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// measureMemory measures what sessions and open streams take in memory. Kernel buffers are not in it.
func measureMemory(ctx context.Context, b *bench) error {
	sessions := func(x float64) ([]float64, error) {
		bare, err := sessionsBetween(ctx, int(x))
		if err != nil {
			return nil, err
		}
		one := bare / bothEnds
		atSide, err := sessionsAtSide(ctx, int(x))
		if err != nil {
			return nil, err
		}
		atEntry, err := sessionsAtEntry(ctx, int(x))
		return []float64{one, atSide - one, atEntry - one}, err
	}
	err := b.measureOnce(ctx, b.few(25, 50, 100, 200), sessions,
		Slope{Name: SessionMemory, Feeds: "sessions: memory", Unit: "B/session", Base: "B", Over: "idle sessions", Model: "one end of a bare session: half of both"},
		Slope{Name: SideSessionMem, Feeds: "side: memory of sessions", Unit: "B/session", Base: "B", Over: "idle sessions", Model: "a real side's end; the intercept is the side itself"},
		Slope{Name: EntrySessionMem, Feeds: "entry: memory of sessions", Unit: "B/session", Base: "B", Over: "idle sessions", Model: "a real entry's end; the intercept is the entry itself"})
	if err != nil {
		return err
	}
	streams := func(x float64) ([]float64, error) {
		atEntry, err := streamsAtEntry(ctx, int(x))
		if err != nil {
			return nil, err
		}
		atSide, err := streamsAtSide(ctx, int(x))
		return []float64{atEntry, atSide}, err
	}
	return b.measureOnce(ctx, b.few(16, 32, 48, 64), streams,
		Slope{Name: EntryStreamMem, Feeds: "entry: memory of open streams (data path)", Unit: "B/stream", Base: "B", Over: "open streams", Model: "before the first token; a short prompt"},
		Slope{Name: SideStreamMem, Feeds: "side: memory of open streams (data path)", Unit: "B/stream", Base: "B", Over: "open streams",
			Model: fmt.Sprintf("%d sides; what the thin engine takes is off", rigSides)})
}

// stopper is what a measurement has set up.
type stopper interface{ stop() }

// liveWhile returns the memory that start takes until it is stopped.
func liveWhile(start func() (stopper, error)) (float64, error) {
	var s stopper
	live, err := liveOf(func() (any, error) {
		var err error
		s, err = start()
		return s, err
	})
	if err == nil {
		s.stop()
	}
	return live, err
}

func sessionsBetween(ctx context.Context, n int) (float64, error) {
	return liveWhile(func() (stopper, error) { return startSessionEcho(ctx, n, false) })
}

// stopList stops what was started, the last first.
type stopList []func()

func (l *stopList) add(f func()) { *l = append(*l, f) }

func (l *stopList) stop() {
	for i := len(*l) - 1; i >= 0; i-- {
		(*l)[i]()
	}
}

func sessionsAtSide(ctx context.Context, n int) (float64, error) {
	target, err := startThinTarget(serviceAnswer)
	if err != nil {
		return 0, err
	}
	defer target.close()
	return liveWhile(func() (stopper, error) {
		rig, err := startSideRig(targetInfo(0, structs.KindService), target.url())
		if err != nil {
			return nil, err
		}
		l := &stopList{rig.stop}
		for i := range n {
			e, err := dialThinEntry(ctx, rig.side.Addr(), i)
			if err != nil {
				l.stop()
				return nil, err
			}
			l.add(e.close)
		}
		return l, nil
	})
}

// sessionsAtEntry lists one thin side under n names, so that the entry keeps n sessions.
func sessionsAtEntry(ctx context.Context, n int) (float64, error) {
	t, err := startThinSide(targetInfo(0, structs.KindService), false)
	if err != nil {
		return 0, err
	}
	defer t.close()
	hosts := make([]platform.Host, 0, n)
	for i := range n {
		hosts = append(hosts, platform.Host{
			ID: hostID("side", i), Role: platform.RoleSide, Addr: t.addr(), Domain: domainID(0), State: platform.HostLive,
		})
	}
	return liveWhile(func() (stopper, error) {
		rig := &entryRig{sides: []*thinSide{t}}
		err := rig.startEntry(ctx, hosts, n)
		return rig, err
	})
}

func streamsAtEntry(ctx context.Context, n int) (float64, error) {
	rig, err := startEntryRig(ctx, 1, structs.KindEngine, false)
	if err != nil {
		return 0, err
	}
	defer rig.stop()
	request := httpPost("/v1/chat/completions", generateBody)
	return liveWhile(func() (stopper, error) {
		return holdStreams(ctx, n, rig.entry.CallerAddr(), request, rig.open)
	})
}

// holdStreams opens n requests at addr, one connection each, and waits until open counts them.
func holdStreams(ctx context.Context, n int, addr string, request []byte, open func() int) (*stopList, error) {
	l := &stopList{}
	for range n {
		c, err := dialCaller(addr)
		if err == nil {
			l.add(c.close)
			err = c.write(request)
		}
		if err != nil {
			l.stop()
			return nil, err
		}
	}
	err := await(ctx, func() bool { return open() == n })
	return l, err
}

// streamsAtSide returns what n streams take at sides, without what they take at the thin engine.
func streamsAtSide(ctx context.Context, n int) (float64, error) {
	target, err := startThinTarget(serviceAnswer)
	if err != nil {
		return 0, err
	}
	defer target.close()
	request := httpPost("/v1/chat/completions", generateBody)
	alone, err := liveWhile(func() (stopper, error) {
		return holdStreams(ctx, n, target.ln.Addr().String(), request, target.open)
	})
	if err != nil {
		return 0, err
	}
	l := &stopList{}
	defer l.stop()
	var entries []*thinEntry
	for i := range rigSides {
		rig, err := startSideRig(targetInfo(i, structs.KindEngine), target.url())
		if err != nil {
			return 0, err
		}
		l.add(rig.stop)
		e, err := dialThinEntry(ctx, rig.side.Addr(), i)
		if err != nil {
			return 0, err
		}
		l.add(e.close)
		entries = append(entries, e)
	}
	all, err := liveOf(func() (any, error) {
		for i := range n {
			if err := entries[i%rigSides].send(generateOpen(i)); err != nil {
				return nil, err
			}
		}
		return nil, await(ctx, func() bool { return target.open() == 2*n })
	})
	return all - alone, err
}
