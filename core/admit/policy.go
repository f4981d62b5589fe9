package admit

import (
	"math"
	"time"
)

// policy is what the one setting Headroom stands for.
type policy struct {
	headroom float64
	// stretch is by how much batch may lengthen the first token of an online
	// request that arrives now, as a factor on the floor's high quantile.
	stretch float64
	// displace is how many batch streams each online request of a burst displaces
	// beyond the place that it takes.
	displace float64
	// hold is the time constant with which headroom is given back after a burst.
	hold time.Duration
	// prefillTokens bounds batch prompts that the engine computes at a time.
	prefillTokens int
	// late is by how much batch may lengthen a first token that is over the
	// budget without any batch, as a share of what remains.
	late float64
	// holdStarts keeps batch requests back while the engine computes online prompts.
	holdStarts bool
}

const (
	// stretchLatency and stretchThroughput are policy.stretch at headroom 1 and 0.
	stretchLatency    = 1.2
	stretchThroughput = 4.0
	holdMax           = 300 * time.Millisecond
	displaceMax       = 0.8
	prefillLatency    = 256
	lateThroughput    = 4
	lateLatency       = 0.25
	holdStartsOver    = 0.2
	prefillThroughput = 512
)

// newPolicy spreads the setting between its two ends.
func newPolicy(headroom float64) policy {
	h := headroom
	if math.IsNaN(h) {
		h = 1
	}
	h = max(0, min(1, h))
	return policy{
		headroom:      h,
		stretch:       geometric(stretchThroughput, stretchLatency, h),
		displace:      displaceMax * h,
		hold:          time.Duration(h * float64(holdMax)),
		prefillTokens: int(geometric(prefillThroughput, prefillLatency, h)),
		late:          geometric(lateThroughput, lateLatency, h),
		holdStarts:    h > holdStartsOver,
	}
}

// geometric is a at h=0 and b at h=1, with equal ratios between.
func geometric(a, b, h float64) float64 { return a * math.Pow(b/a, h) }

// slack is by how many batch streams the target may be over want before any is
// preempted: each preemption costs a prefill, so small swings are left alone.
func (p policy) slack(want int) int {
	return int(float64(want) * (1 - p.headroom) / slackPart)
}

const slackPart = 4

// wantBatch is how many batch requests the target should have now.
func (m *Machine) wantBatch(now time.Time) int {
	if m.draining {
		return 0
	}
	return min(m.room(), m.harmless(now), m.besideBurst(now))
}

// besideBurst is how many batch streams a burst of online requests leaves. A request's own
// first token is only a part of the harm: longer steps keep online requests longer, and
// those that come after wait for them.
// How many online requests a burst will bring to the target shows in the rate of arrivals
// well before it shows in their number.
func (m *Machine) besideBurst(now time.Time) int {
	coming := m.arrivals.value(now) * m.service
	burst := max(m.peak.value(now, m.policy.hold), coming) - m.usual.value(now)
	return max(0, m.room()-int(m.policy.displace*max(0, burst)))
}

// room is how many batch requests fit beside the online ones.
func (m *Machine) room() int {
	return max(0, m.limit.value()-m.inFlight.online-m.online.len())
}

// shareOfLimit is the batch share while there is no step model: at the start, and
// for plain services, whose calls have no steps.
func (m *Machine) shareOfLimit() int {
	return int(math.Ceil(float64(m.limit.value()) * (1 - m.policy.headroom/2)))
}

// BatchRoom is how many more batch items the side should pull now: what the
// policy wants at the target, and a few in the queue so that a freed place is not idle
// for a round trip.
func (m *Machine) BatchRoom(now time.Time) int {
	if m.draining {
		return 0
	}
	for _, r := range m.batch.fresh {
		if r.Alone {
			return 0
		}
	}
	if m.inFlight.alone > 0 {
		return 0
	}
	want := m.wantBatch(now)
	if want == 0 {
		return 0
	}
	ahead := min(maxAhead, 1+want/aheadPart)
	return max(0, want+ahead-m.inFlight.activeBatch()-m.batch.len())
}

const (
	aheadPart = 8
	maxAhead  = 8
)

// NextTick is when to call Tick next; zero when nothing depends on time.
func (m *Machine) NextTick(now time.Time) time.Time {
	if m.batch.len() == 0 && m.online.len() == 0 && m.inFlight.batch == 0 {
		return time.Time{}
	}
	return now.Add(tickEvery)
}

// tickEvery is how often headroom is looked at while online is quiet.
const tickEvery = 20 * time.Millisecond
