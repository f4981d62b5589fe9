package admit

import (
	"math"
	"time"
)

// harmless is how many batch streams leave the online requests that have no first token
// yet theirs in time.
func (m *Machine) harmless(now time.Time) int {
	m.atRisk = false
	if !m.model.ready() {
		return m.shareOfLimit()
	}
	if m.model.perStream <= 0 || !m.floor.known() {
		return m.limit.max
	}
	budget := m.floor.high() * m.policy.stretch
	least := float64(m.limit.max)
	for _, r := range m.running {
		if r.batch() || r.streaming || r.stopping {
			continue
		}
		least = min(least, m.batchBeside(now, r, budget))
	}
	return int(max(0, min(least, float64(m.limit.max))))
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

// expectedFirst is how long r's first token should have taken by the model.
func (m *Machine) expectedFirst(r *request) time.Duration {
	if !m.model.ready() {
		return 0
	}
	prompt := r.prefill() + m.inFlight.onlinePrefill + m.inFlight.batchPrefill
	return seconds(2 * m.model.firstToken(float64(len(m.running)), prompt))
}

// firstTokenNow estimates the first token of an online request that arrives now.
func (m *Machine) firstTokenNow(now time.Time) time.Duration {
	streams := m.inFlight.online + m.inFlight.activeBatch() + 1
	prompt := int(m.floor.prompt) + m.inFlight.onlinePrefill
	return m.queueWait() + seconds(m.rest(now)+m.model.firstToken(float64(streams), prompt))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
