package admit

import "time"

// model predicts the engine's step time as
//
//	base + perStream*streams + perToken*prefill
//
// fitted by least squares with exponential forgetting. It is the measured
// baseline against which the limit is found: base and perStream say how long an unloaded
// step takes and how much each further stream lengthens it.
type model struct {
	base, perStream, perToken float64 // seconds
	samples                   int

	xx [3][3]float64
	xy [3]float64

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
)

// observe takes in one step.
func (m *model) observe(s step) {
	y := s.took.Seconds()
	if m.outlier(s, y) {
		return
	}
	x := [3]float64{1, float64(s.streams()), float64(s.prefill) / tokenScale}
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

// outlier reports whether the step tells of a pause rather than of the engine's
// speed. A paused host would otherwise leave a model that calls any load harmless.
func (m *model) outlier(s step, y float64) bool {
	if !m.ready() || y < outlierFactor*m.step(s.streams(), s.prefill) {
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
	free := [3]bool{true, true, true}
	var w [3]float64
	for range 3 {
		w = solve3(m.xx, m.xy, free)
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
		w[worst] = 0
	}
	m.base = max(0, w[0])
	m.perStream = max(0, w[1])
	m.perToken = max(0, w[2]) / tokenScale
}

// solve3 solves the ridge-regularised normal equations over the free coefficients.
func solve3(a [3][3]float64, y [3]float64, free [3]bool) [3]float64 {
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
func eliminate(a [3][3]float64, y [3]float64) [3]float64 {
	for i := range a {
		for r := i + 1; r < len(a); r++ {
			f := a[r][i] / a[i][i]
			for c := i; c < len(a); c++ {
				a[r][c] -= f * a[i][c]
			}
			y[r] -= f * y[i]
		}
	}
	var w [3]float64
	for i := len(a) - 1; i >= 0; i-- {
		w[i] = y[i]
		for c := i + 1; c < len(a); c++ {
			w[i] -= a[i][c] * w[c]
		}
		w[i] /= a[i][i]
	}
	return w
}
