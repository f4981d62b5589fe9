package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/fairshare"
)

const (
	// simWindow is the window over which the simulated gateways measure work.
	simWindow = 2 * time.Second
	// warmUp is the time in seconds until the work of a whole window has been measured.
	warmUp = 3
	// minQuietShare and minLeastShare are the shares of the requests of workspaces within their share, and of the
	// least-served of them, that must be answered within their goal.
	minQuietShare = 0.9
	minLeastShare = 0.75
	// minUsedCapacity is the portion of the capacity that must serve requests within their goal in an overload.
	minUsedCapacity = 0.7
)

// oneLoud returns a load of which one workspace sends loudRate requests a second and each of others quietRate, with
// capacity for 160 requests a second.
func oneLoud(loudRate, quietRate float64, others int) load {
	l := load{
		gateways: 3, targets: 2, slots: 8, hold: 100 * ms, goal: 300 * ms, sharing: &fairshare.Options{Window: simWindow},
		lossShare: 0.1, maxDelay: 10 * ms, duration: 14 * time.Second, rates: map[string]func(time.Duration) float64{"loud": constant(loudRate)},
	}
	for i := range others {
		l.rates[fmt.Sprint("quiet", i)] = constant(quietRate)
	}
	return l
}

// capacity is the number of requests per second that the targets can serve.
func (l load) capacity() float64 { return float64(l.targets*l.slots) / l.hold.Seconds() }

// quiet returns the outcome of all quiet workspaces together and the share of the least-served one.
func (s *sim) quiet(from, to int) (sum outcome, least float64) {
	least = 1
	for name := range s.rates {
		if name == "loud" {
			continue
		}
		o := s.total(name, from, to)
		least = min(least, o.share())
		sum.sent, sum.inGoal, sum.served = sum.sent+o.sent, sum.inGoal+o.inGoal, sum.served+o.served
	}
	return sum, least
}

// Guards against a workspace that takes the capacity of workspaces within their share by sending several times what the
// targets can serve. The capacity must still be used: the loud workspace gets what is left.
func TestWorkspacesWithinTheirShareAreServedInOverload(t *testing.T) {
	slow := oneLoud(30, 1, 6) // calls of a second, which is a long time compared with the reports
	slow.hold, slow.goal = time.Second, 2*time.Second
	slow.duration = 30 * time.Second
	many := oneLoud(500, 2, 40)
	many.gateways, many.duration = 12, 8*time.Second
	for name, l := range map[string]load{
		"seven workspaces":   oneLoud(270, 10, 6),
		"quiet ones at half": oneLoud(400, 12, 7),
		"slow calls":         slow,
		"many gateways":      many,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := newSim(l, seed)
				s.run()
				seconds := int(l.duration/time.Second) - 1 // requests of the last second have no outcome
				sum, least := s.quiet(warmUp, seconds)
				loud := s.total("loud", warmUp, seconds)
				used := float64(sum.inGoal+loud.inGoal) / float64(seconds-warmUp) / l.capacity()
				t.Logf("seed %d: quiet %.3f, least served %.3f, loud %.3f, capacity in goal %.3f", seed, sum.share(), least, loud.share(), used)
				if sum.share() < minQuietShare || least < minLeastShare {
					t.Errorf("seed %d: %.3f of the requests within the shares are in goal and %.3f of the least-served workspace, want %.2f and %.2f", seed, sum.share(), least, minQuietShare, minLeastShare)
				}
				if used < minUsedCapacity {
					t.Errorf("seed %d: %.3f of the capacity is used within goal, want %.2f", seed, used, minUsedCapacity)
				}
			}
		})
	}
}

// Guards against an unequal division between workspaces that all request more than the capacity, and against weights
// without effect.
func TestSharesOfOverloadingWorkspacesFollowWeights(t *testing.T) {
	for _, weight := range []float64{1, 3} {
		l := oneLoud(200, 0, 0)
		l.rates["other"] = constant(200)
		l.sharing = &fairshare.Options{Window: simWindow, Weights: map[string]float64{"other": weight}}
		s := newSim(l, 1)
		s.run()
		a, b := s.total("loud", warmUp, 13), s.total("other", warmUp, 13)
		ratio := float64(b.served) / float64(a.served)
		t.Logf("weight %v: %d and %d requests served", weight, a.served, b.served)
		if ratio < 0.8*weight || ratio > 1.25*weight {
			t.Errorf("with weights 1 and %v the workspaces were served %d and %d requests, a ratio of %.2f", weight, a.served, b.served, ratio)
		}
	}
}

// Guards against a share that is not lent while its owner is idle, or not returned when the owner needs it.
func TestIdleShareIsLentAndReturned(t *testing.T) {
	const returnAt = 7
	l := oneLoud(270, 5, 1)
	l.rates["owner"] = func(elapsed time.Duration) float64 {
		if elapsed < returnAt*time.Second {
			return 0
		}
		return 70
	}
	s := newSim(l, 3)
	s.run()
	if lent := float64(s.total("loud", warmUp, returnAt).served) / (returnAt - warmUp); lent < 0.8*l.capacity() {
		t.Errorf("%.0f requests a second of the loud workspace were served while the other was idle, want at least 0.8 of the capacity for %.0f", lent, l.capacity())
	}
	if first := s.total("owner", returnAt, returnAt+2); first.share() < minLeastShare {
		t.Errorf("in the window after its return %.3f of the owner's requests are in goal, want %.2f", first.share(), minLeastShare)
	}
	if later := s.total("owner", returnAt+2, 13); later.share() < minQuietShare {
		t.Errorf("after that window %.3f of the owner's requests are in goal, want %.2f", later.share(), minQuietShare)
	}
}

// Guards against workspaces that lose their share when gateways can't exchange reports: with half of the gateways cut
// off from the others or killed, no workspace is served less than half of its share in any 3 s, which is about one
// window and the expiry time of a peer.
func TestHalfOfTheGatewaysCutOff(t *testing.T) {
	const faultAt = 6
	for _, kind := range []string{"cut off", "killed"} {
		l := oneLoud(270, 10, 6)
		l.gateways = 6
		if kind == "killed" {
			l.killAt = faultAt * time.Second
		} else {
			l.cutAt = faultAt * time.Second
		}
		s := newSim(l, 5)
		s.run()
		for name := range s.rates {
			share := min(s.rates[name](0), l.capacity()-60) // requests a second
			least := s.sentShare(name, share, faultAt, 13)
			t.Logf("%s: %s served at least %.2f of its share in 3 s", kind, name, least)
			if least < 0.5 {
				t.Errorf("%s: %s was served %.2f of its share in 3 s, want at least 0.5", kind, name, least)
			}
		}
	}
}

// sentShare returns the least number of requests of a workspace served in any 3 s as a share of what it is due: its
// share in requests per second, or what it has sent if that is less.
func (s *sim) sentShare(name string, share float64, from, to int) float64 {
	least := 1.0
	for i := from; i+3 <= to; i++ {
		o := s.total(name, i, i+3)
		least = min(least, float64(o.served)/min(3*share, float64(o.sent)))
	}
	return least
}

// Guards against rejections by share while the targets can serve all requests, and against a division of the capacity
// between a workspace and itself.
func TestNothingIsRejectedByShareWithoutCompetition(t *testing.T) {
	fits := oneLoud(70, 10, 4)
	alone := oneLoud(270, 0, 0)
	for name, l := range map[string]load{"work fits": fits, "one workspace": alone} {
		s := newSim(l, 2)
		s.run()
		if s.shareRejections > 0 {
			t.Errorf("%s: %d requests rejected by share, want 0", name, s.shareRejections)
		}
	}
}
