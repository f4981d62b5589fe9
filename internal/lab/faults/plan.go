package faults

import (
	"math/rand/v2"
	"time"
)

// Kind names one kind of fault.
type Kind string

// The kinds of faults.
const (
	KillEntry   Kind = "kill_entry"  // abrupt loss of an entry's host, replaced later
	StopEntry   Kind = "stop_entry"  // planned stop, replaced later
	KillSide    Kind = "kill_side"   // abrupt loss of a side's host; its target goes on
	StopSide    Kind = "stop_side"   // planned stop of a side
	KillTarget  Kind = "kill_target" // the target's process dies and restarts
	KillBoth    Kind = "kill_both"   // an entry, a side and a target at once
	KillDomain  Kind = "kill_domain" // all of a failure domain at once
	PauseEntry  Kind = "pause_entry" // all sockets of an entry frozen for longer than its lease
	HidePeers   Kind = "hide_peers"  // an entry can't be reached by other entries
	HideLog     Kind = "hide_log"    // an entry can't reach the log service, all others can
	FreezeLog   Kind = "freeze_log"  // what an entry and the log service say to each other comes late
	HideSide    Kind = "hide_side"   // an entry and a side can't reach each other
	LogOutage   Kind = "log_outage"  // refuses all at once
	LogHang     Kind = "log_hang"    // answers nothing
	LogSlow     Kind = "log_slow"    // waits before each effect
	LoseAnswers Kind = "lose_answers"
	LogBusy     Kind = "log_busy" // refuses a share of appends
	ListLag     Kind = "list_lag"
	ListOutage  Kind = "list_outage"
)

var allKinds = []Kind{
	KillEntry, StopEntry, KillSide, StopSide, KillTarget, KillBoth, KillDomain,
	PauseEntry, HidePeers, HideLog, FreezeLog, HideSide,
	LogOutage, LogHang, LogSlow, LoseAnswers, LogBusy, ListLag, ListOutage,
}

// fault is one fault of a schedule.
type fault struct {
	At    time.Duration // since the start of the faults
	Kind  Kind
	Pick  uint64 // chooses what it hits
	For   time.Duration
	Share float64 // 0..1: how bad it is
}

const (
	gapLeast, gapMost   = 300 * time.Millisecond, 1500 * time.Millisecond
	lastLeast, lastMost = 300 * time.Millisecond, 5 * time.Second
	// pauseLeast is longer than the lease of an entry.
	pauseLeast, pauseMost = 3 * time.Second, 7 * time.Second
)

// schedule draws the faults of a run from seed. Kinds come in shuffled rounds, so that a run
// that is long enough has each of them.
func schedule(seed uint64, span time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []fault
	var deck []Kind
	for at := between(rng, 0, gapMost); at < span; at += between(rng, gapLeast, gapMost) {
		if len(deck) == 0 {
			deck = append(deck, allKinds...)
			rng.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		f := fault{At: at, Kind: deck[0], Pick: rng.Uint64(), Share: rng.Float64()}
		f.For = between(rng, lastLeast, lastMost)
		switch f.Kind {
		case PauseEntry, HidePeers, HideLog, FreezeLog:
			f.For = between(rng, pauseLeast, pauseMost)
		}
		deck = deck[1:]
		out = append(out, f)
	}
	return out
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
