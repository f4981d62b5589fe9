package admit

import (
	"math"
	"time"

	"arbutusramp/core/structs"
)

// harmless is how many batch streams leave the online requests that have no first token
// yet theirs in time.
func (m *Machine) harmless(now time.Time) int {
	m.atRisk = false
	if !m.model.ready() {
		return m.shareOfLimit()
	}
	if m.model.perStream <= 0 {
		return m.limit.max
	}
	budget := m.tail() * m.policy.stretch
	least := float64(m.limit.max)
	for _, r := range m.running {
		if r.batch() || r.streaming || r.stopping {
			continue
		}
		least = min(least, m.batchBeside(now, r, budget))
	}
	return int(max(0, min(least, float64(m.limit.max))))
}

// tail is the time to the first token that batch must not push requests past,
// before the policy's stretch, in seconds.
func (m *Machine) tail() float64 {
	if m.floor.known() {
		return m.floor.high()
	}
	return firstTail * m.model.firstToken(float64(m.inFlight.online), int(m.floor.prompt))
}

// firstTail is the tail over the typical time while too few requests were seen.
const firstTail = 3

// firstAlone predicts the seconds to the first token of r if it arrives now and
// there is no batch; 0 without a model.
func (m *Machine) firstAlone(r Request) float64 {
	if !m.model.ready() || r.Class == structs.ClassBatch {
		return 0
	}
	online := float64(m.inFlight.online + m.online.len())
	wait := 0.0
	if online > 0 {
		wait = m.model.step(int(online), 0) / 2
	}
	return wait + m.model.firstToken(online+1, m.inFlight.onlinePrefill+r.PromptTokens)
}

// alone is what the first token of r, which took so long, would have taken without
// batch. The time that batch added to steps is not enough to take off: batch lengthens queues
// too, and a floor that took those in would let batch lengthen them ever more.
func (m *Machine) alone(r *request, took time.Duration) float64 {
	without := max(0, took.Seconds()-(m.batchCost-r.batchCost))
	if r.alone == 0 {
		return without
	}
	return min(without, r.alone)
}

// batchBeside is the number of batch streams beside which the first token of r comes within
// budget seconds of its arrival. If it would be late without any batch
// as well, it may become later by the policy's share at most.
func (m *Machine) batchBeside(now time.Time, r *request, budget float64) float64 {
	past := now.Sub(r.arrived).Seconds() + m.rest(now)
	own, others := m.ahead(r)
	online := float64(m.inFlight.online)
	alone := m.model.firstToken(online, own)
	left := max(budget-past, alone*(1+m.policy.late))
	if m.model.firstToken(online+float64(m.inFlight.activeBatch()), own+others) > left {
		m.atRisk = true
	}
	steps := m.model.stepsFor(own)
	perStep := (left - m.model.perToken*float64(own)) / steps
	return (perStep-m.model.base)/m.model.perStream - online
}

// ahead is the number of prompt tokens that the engine computes up to the first token of r:
// those of online requests, and those of batch requests.
func (m *Machine) ahead(r *request) (online, batch int) {
	for _, o := range m.running {
		if o.streaming || o.stopping || o.ID > r.ID {
			continue
		}
		if o.batch() {
			batch += o.prefill()
			continue
		}
		online += o.prefill()
	}
	return online, batch
}

// rest estimates the seconds until the engine's present step ends.
func (m *Machine) rest(now time.Time) float64 {
	if m.steps.opened.IsZero() {
		return 0
	}
	streams := m.inFlight.online + m.inFlight.batch
	step := m.model.step(streams, 0)
	return max(0, step-now.Sub(m.steps.opened).Seconds())
}

// firstTokenNow estimates the first token of an online request that arrives now.
func (m *Machine) firstTokenNow(now time.Time) time.Duration {
	if !m.model.ready() {
		return m.queueWait() + seconds(m.floor.lately*float64(1+m.inFlight.online))
	}
	return m.queueWait() + seconds(m.predictArrival(int(m.floor.prompt))*m.delay(now))
}

// predictArrival is the seconds to the first token of an online request with prompt
// tokens that starts now, by the model.
func (m *Machine) predictArrival(prompt int) float64 {
	streams := m.inFlight.online + m.inFlight.activeBatch() + 1
	wait := m.model.step(streams-1, 0) / 2
	return wait + m.model.firstToken(float64(streams), m.inFlight.onlinePrefill+prompt)
}

// delay is by what factor first tokens come later than predicted: lately, or by now for
// those that still wait. Without it a target that is worse than its model says, because it
// queues inside, say, would draw ever more requests.
func (m *Machine) delay(now time.Time) float64 {
	d := max(1, m.bias)
	for _, r := range m.running {
		if r.batch() || r.streaming || r.expected <= 0 {
			continue
		}
		d = max(d, now.Sub(r.started).Seconds()/r.expected)
	}
	return min(d, maxDelay)
}

// learnDelay takes in a first token.
func (m *Machine) learnDelay(r *request, took time.Duration) {
	if r.expected <= 0 {
		return
	}
	ratio := min(maxDelay, took.Seconds()/r.expected)
	m.bias += (ratio - m.bias) / biasSmooth
}

const (
	maxDelay   = 50.0
	biasSmooth = 8.0 // first tokens over which the delay is smoothed
)

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
