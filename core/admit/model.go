package admit

import (
	"math"
	"time"
)

// model predicts the engine's step time as
//
//	base + perStream*streams + perToken*prefill + chunk*unfinished
//
// where unfinished is 1 when the step has computed a part of a prompt, of unknown size,
// fitted by least squares with exponential forgetting. It is the measured
// baseline against which the limit is found: base and perStream say how long an unloaded
// step takes and how much each further stream lengthens it.
type model struct {
	base, perStream, perToken float64 // seconds
	// chunk is how long the engine computes prompts in one step at most, in
	// seconds; 0 until a prompt was seen that took more than one step.
	chunk   float64
	samples int
	clean   int // samples in which all prompts were done

	xx matrix
	xy vector

	outliers int
}

const (
	forget         = 0.998 // weight of the past per step: a memory of 500 steps
	fitEvery       = 8     // steps between two solutions
	minSamples     = 24    // steps before the model is trusted
	outlierFactor  = 6.0   // a step so much longer than predicted is not taken in
	outliersInARow = 12    // unless so many follow each other: the engine has changed
	// tokenScale keeps the columns of the normal equations alike in size.
	tokenScale = 100.0
	ridge      = 1e-6
	// idleSamples are steps without an unfinished prompt before the model is trusted
	// to tell an idle step: without them the base takes in the time of prompts, and
	// an engine that is busy with prompts looks as if it kept them waiting.
	idleSamples = 50
	// idleAnyhow are steps after which it is trusted without: an engine that always
	// queues inside has no others.
	idleAnyhow = 200
	// idleFactor is how much longer than without prompts a step may be and
	// still count as one that computed none.
	idleFactor = 1.15
)

// The terms of the model.
const (
	termBase = iota
	termStream
	termToken
	termChunk
	terms
)

type (
	matrix [terms][terms]float64
	vector [terms]float64
)

// observe takes in one step.
func (m *model) observe(s step) {
	y := s.took.Seconds()
	if m.outlier(s, y) || m.idleInside(s) || s.partial && s.unserved == 0 {
		return
	}
	x := vector{termBase: 1, termStream: float64(s.streams()), termToken: float64(s.prefill) / tokenScale}
	if s.unserved == 0 {
		m.clean++
	} else {
		x[termToken], x[termChunk] = 0, 1
	}
	for i := range x {
		for j := range x {
			m.xx[i][j] = forget*m.xx[i][j] + x[i]*x[j]
		}
		m.xy[i] = forget*m.xy[i] + x[i]*y
	}
	m.samples++
	if m.samples%fitEvery == 0 {
		m.solve()
	}
}

// idleInside reports whether the step left requests unserved without spending time on
// prompts: the engine keeps them in a queue of its own.
func (m *model) idleInside(s step) bool {
	if m.clean < idleSamples && m.samples < idleAnyhow || s.unserved == 0 || s.prefill > 0 {
		return false
	}
	return s.took.Seconds() < idleFactor*m.step(s.streams(), 0)
}

// firstToken predicts the seconds from the begin of a step to the first token of a
// request, with prompt tokens up to and including its own, beside streams.
func (m *model) firstToken(streams float64, prompt int) float64 {
	prefill := m.perToken * float64(prompt)
	return m.stepsFor(prompt)*(m.base+m.perStream*streams) + prefill
}

// stepsFor is how many steps the engine needs for so many prompt tokens.
func (m *model) stepsFor(prompt int) float64 {
	if m.chunk <= 0 {
		return 1
	}
	return max(1, math.Ceil(m.perToken*float64(prompt)/m.chunk))
}

// outlier reports whether the step tells of a pause rather than of the engine's
// speed. A paused host would otherwise leave a model that calls any load harmless.
func (m *model) outlier(s step, y float64) bool {
	if !m.ready() || y < outlierFactor*(m.step(s.streams(), s.prefill)+m.chunk) {
		m.outliers = 0
		return false
	}
	m.outliers++
	return m.outliers < outliersInARow
}

// ready reports whether the model may be used.
func (m *model) ready() bool { return m.samples >= minSamples && m.base+m.perStream > 0 }

// step predicts the seconds that a step with streams and prefill tokens takes.
func (m *model) step(streams, prefill int) float64 {
	return m.base + m.perStream*float64(streams) + m.perToken*float64(prefill)
}

// stepTime is step as a duration.
func (m *model) stepTime(streams, prefill int) time.Duration {
	return time.Duration(m.step(streams, prefill) * float64(time.Second))
}

// solve finds the coefficients, none below 0.
func (m *model) solve() {
	free := [terms]bool{true, true, true, true}
	var w vector
	for range terms {
		w = solveFree(m.xx, m.xy, free)
		worst := -1
		for i := range w {
			if w[i] < 0 && (worst < 0 || w[i] < w[worst]) {
				worst = i
			}
		}
		if worst < 0 {
			break
		}
		free[worst] = false
	}
	m.base = max(0, w[termBase])
	m.perStream = max(0, w[termStream])
	m.perToken = max(0, w[termToken]) / tokenScale
	m.chunk = max(0, w[termChunk])
}

// solveFree solves the ridge-regularised normal equations over the free coefficients.
func solveFree(a matrix, y vector, free [terms]bool) vector {
	for i := range a {
		a[i][i] += ridge
		if free[i] {
			continue
		}
		for j := range a {
			a[i][j], a[j][i] = 0, 0
		}
		a[i][i], y[i] = 1, 0
	}
	return eliminate(a, y)
}

// eliminate is Gauss's elimination; the matrix is positive definite.
func eliminate(a matrix, y vector) vector {
	for i := range a {
		for r := i + 1; r < len(a); r++ {
			f := a[r][i] / a[i][i]
			for c := i; c < len(a); c++ {
				a[r][c] -= f * a[i][c]
			}
			y[r] -= f * y[i]
		}
	}
	var w vector
	for i := len(a) - 1; i >= 0; i-- {
		w[i] = y[i]
		for c := i + 1; c < len(a); c++ {
			w[i] -= a[i][c] * w[c]
		}
		w[i] /= a[i][i]
	}
	return w
}
