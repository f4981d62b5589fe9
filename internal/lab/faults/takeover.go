package faults

import (
	"slices"
	"time"
)

// takeovers returns, in rising order, how long shards were without an owner after its loss.
// Losses while the log service was not well are left out: nobody can claim then.
func takeovers(shards map[string]*foldedShard, losses []loss, logBad []period) []time.Duration {
	var out []time.Duration
	for _, l := range losses {
		for _, s := range shards {
			if t := l.ends(s.tenures); t != nil && !overlaps(logBad, l.at, t.until) {
				out = append(out, t.until.Sub(l.at))
			}
		}
	}
	slices.Sort(out)
	return out
}

// ends returns the tenure that the loss ended, nil if there is none: a host that only was
// away for a while may still be the owner when it is back.
func (l *loss) ends(tenures []*tenure) *tenure {
	for _, t := range tenures {
		held := t.owner.Host == l.host && t.from.Before(l.at) && t.until.After(l.at)
		handedOver := !t.released.IsZero() && t.released.Before(l.at)
		if held && !handedOver && (l.back.IsZero() || t.until.Before(l.back)) {
			return t
		}
	}
	return nil
}

func overlaps(bad []period, from, until time.Time) bool {
	return slices.ContainsFunc(bad, func(p period) bool { return p.from.Before(until) && from.Before(p.until) })
}

// quantile returns the q-quantile of rising values, 0 if there are none.
func quantile(rising []time.Duration, q float64) time.Duration {
	if len(rising) == 0 {
		return 0
	}
	return rising[min(len(rising)-1, int(q*float64(len(rising))))]
}
