package slopes

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
)

const (
	loadSessions = 50 // sessions that load frames are measured over
	bothEnds     = 2
)

// beatWindow is how long heartbeats are measured: one of each session.
const beatWindow = session.DefaultHeartbeat

// measureSessions measures idle sessions and load reports over them, between thin ends: what
// the ends do with them is left out.
func measureSessions(ctx context.Context, b *bench) error {
	if err := b.measureOnce(ctx, b.few(0, 16, 32, 64), prefixBytes, Slope{
		Name: PrefixBytes, Feeds: "sessions: bytes of load reports (control)", Unit: "B/hash", Base: "B/frame", Over: "prefix hashes in a report",
	}); err != nil {
		return err
	}
	idle := func(x float64) ([]float64, error) {
		var echo *sessionEcho
		var err error
		settle()
		dial := cpuDuring(func() { echo, err = startSessionEcho(ctx, int(x), false) })
		if err != nil {
			return nil, err
		}
		defer echo.stop()
		used, bytes, messages := echo.watch(beatWindow, func() { time.Sleep(beatWindow) })
		return []float64{used / bothEnds, bytes, messages, dial}, nil
	}
	err := b.measure(ctx, b.few(25, 50, 100, 200), idle,
		Slope{Name: SessionCPU, Feeds: "sessions: processor time of heartbeats (control)", Unit: "us/s a session", Base: "us/s", Over: "idle sessions",
			Model: "one end: half of both"},
		Slope{Name: SessionBytes, Feeds: "sessions: bytes of heartbeats (control)", Unit: "B/s a session", Base: "B/s", Over: "idle sessions",
			Model: "both ways, with WebSocket framing, without TCP and IP headers"},
		Slope{Name: SessionMessages, Feeds: "sessions: packets of heartbeats (control)", Unit: "messages/s a session", Base: "messages/s", Over: "idle sessions",
			Model: "writes and reads at one end"},
		Slope{Name: SessionDialCPU, Feeds: "sessions: processor time of a reconnect", Unit: "us/session", Base: "us", Over: "sessions opened", Model: "both ends together, with their proofs"})
	if err != nil {
		return err
	}
	echo, err := startSessionEcho(ctx, loadSessions, false)
	if err != nil {
		return err
	}
	defer echo.stop()
	loads := func(x float64) ([]float64, error) {
		used, bytes, _ := echo.watch(b.long, func() { echo.side.reportLoads(x, b.long) })
		return []float64{used / loadSessions, bytes / loadSessions}, nil
	}
	return b.measure(ctx, b.few(0, 5, 10, 20), loads,
		Slope{Name: LoadCPU, Feeds: "sessions: processor time of load reports (control)", Unit: "us/frame", Base: "us/s a session", Over: "load frames/s a session",
			Model: fmt.Sprintf("both ends together, %d sessions, one model", loadSessions)},
		Slope{Name: LoadBytes, Feeds: "sessions: bytes of load reports (control)", Unit: "B/frame", Base: "B/s a session", Over: "load frames/s a session",
			Model: "with WebSocket framing, without TCP and IP headers"})
}

// watch returns processor time, bytes and messages a second during f, which takes window.
func (e *sessionEcho) watch(window time.Duration, f func()) (used, bytes, messages float64) {
	settle()
	t := &e.side.traffic
	b0, m0 := t.bytes.Load(), t.writes.Load()
	used = cpuDuring(f) / window.Seconds()
	bytes = float64(t.bytes.Load()-b0) / window.Seconds()
	messages = float64(t.writes.Load()-m0) / window.Seconds()
	return used, bytes, messages
}

// reportLoads sends rate load frames a second on every session for the window.
func (t *thinSide) reportLoads(rate float64, window time.Duration) {
	if rate == 0 {
		time.Sleep(window)
		return
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for range int(rate * window.Seconds()) {
		<-tick.C
		t.sendAll(loadFrame(0))
	}
}

// loadFrame is a side's report with so many hashes of new prompt prefixes.
func loadFrame(prefixes int) structs.Frame {
	l := &structs.Load{
		Target: "target-1234.domain-14", OnlineInFlight: 40, BatchInFlight: 24, OnlineQueued: 3,
		Limit: 64, FirstTokenUs: 123_456, Models: []structs.ModelID{modelID(0)},
		Loaded: []structs.Loaded{{Model: modelID(0), Version: "2026-11-30"}},
	}
	for i := range prefixes {
		l.Prefixes = append(l.Prefixes, ^uint64(i))
	}
	return structs.Frame{Version: 123_456, Load: l}
}

// prefixBytes returns the bytes of a load report with x prefix hashes.
func prefixBytes(x float64) ([]float64, error) {
	f := loadFrame(int(x))
	var buf bytes.Buffer
	err := session.Encode(&buf, []*structs.Frame{&f})
	return []float64{float64(buf.Len())}, err
}
