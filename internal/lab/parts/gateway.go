package parts

import (
	"math/rand/v2"
	"time"

	"arbutusramp/core/quarantine"
)

// request is one request of a caller.
type request struct {
	subject quarantine.Subject
	parts   []string
	deadly  int // index of the deadly part; -1 for a sound request
}

// gateway is a gateway with what it knows by the way that is played.
type gateway struct {
	way      Way
	passes   *quarantine.PassTimes
	registry *quarantine.Registry
	ratio    map[string]*counts // by part; used by Ratio
}

// counts are the crashes and passes of runs with a part, at all gateways.
type counts struct{ crashes, passes int }

func newGateway(way Way, rng *rand.Rand) *gateway {
	g := &gateway{way: way, passes: quarantine.NewPassTimes(), ratio: make(map[string]*counts)}
	jitter := func(most time.Duration) func() time.Duration {
		return func() time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	}
	g.registry = quarantine.NewRegistry(quarantine.Options{
		Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold, Passes: g.passes,
		Jitter: jitter(500 * time.Millisecond), PassDelay: jitter(quarantine.MaxPassDelay),
	})
	return g
}

// subject returns what the way lets the registry know of a request.
func (g *gateway) subject(r *request) quarantine.Subject {
	s := r.subject
	switch g.way {
	case Count:
		s.Scopes = append(append([]quarantine.Fingerprint{}, s.Parts...), s.Scopes...)
		s.Parts = nil
	case Ratio, Nothing:
		s.Parts = nil
	}
	return s
}

// isAdmitted reports whether a request is sent.
func (g *gateway) isAdmitted(now time.Time, r *request) bool {
	s := g.subject(r)
	if g.way == Ratio {
		for _, part := range r.parts {
			if c := g.ratio[part]; c != nil && c.crashes >= quarantine.DefaultThreshold && c.crashes > c.passes {
				return false
			}
		}
	}
	isQuarantined, _ := g.registry.AdmitScopes(now, s)
	return !isQuarantined
}

// noteCrash notes that a target has crashed under a run that had not passed.
func (g *gateway) noteCrash(now time.Time, r *request, c quarantine.Crash) {
	s := g.subject(r)
	g.registry.NoteCrash(now, s.Content, c)
	g.registry.NoteScopeCrash(now, s, c)
}

// notePassed notes that a run whose answer began at answeredAt has passed.
func (g *gateway) notePassed(now, answeredAt time.Time, r *request) {
	s := g.subject(r)
	s.AnsweredAt = answeredAt
	g.passes.Note(answeredAt, s.Parts)
	g.registry.NotePassed(now, s)
}

// addCounts adds to the counts of the parts of a request; with Ratio, all gateways hear of each run.
func (g *gateway) addCounts(r *request, crashes, passes int) {
	for _, part := range r.parts[:len(r.parts)-1] {
		c := g.ratio[part]
		if c == nil {
			c = &counts{}
			g.ratio[part] = c
		}
		c.crashes, c.passes = c.crashes+crashes, c.passes+passes
	}
}
