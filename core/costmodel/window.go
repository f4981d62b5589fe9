package costmodel

import (
	"math"
	"slices"
)

// windowSize is the number of values that a window holds. The median follows a lasting change within half as
// many values, and its standard error is a sixth of that of a single value.
const windowSize = 64

// farOff is the distance from the median, as a binary logarithm, from which a value counts as far off: a factor
// of two.
const farOff = 1

// window holds the last values of a quantity. Its median does not depend on the size of single outliers.
type window struct {
	values [windowSize]float32
	tags   [windowSize]uint32 // of the targets that the values come from
	total  int                // values added so far
	// Figures about the values; they are computed when they are read after a change.
	isStale        bool
	mid, dev, far  float64
	least, largest float64
}

// add adds a value and drops the oldest one if the window is full.
func (w *window) add(v float64, tag uint32) {
	w.values[w.total%windowSize], w.tags[w.total%windowSize] = float32(v), tag
	w.total++
	w.isStale = true
}

// len returns the number of values in the window.
func (w *window) len() int { return min(w.total, windowSize) }

// median returns the median of the values, 0 if there are none.
func (w *window) median() float64 {
	w.update()
	return w.mid
}

// medianWithout returns the median of the values of other targets, and their number.
func (w *window) medianWithout(tag uint32) (median float64, n int) {
	var others [windowSize]float32
	for i := range w.len() {
		if w.tags[i] != tag {
			others[n] = w.values[i]
			n++
		}
	}
	return middle(others[:n]), n
}

// variance returns an estimate of the variance of the values around their median, which outliers don't
// increase. It is larger for fewer values.
func (w *window) variance() float64 {
	w.update()
	const deviationFactor = 1.4826 // standard deviation of a normal distribution divided by its median deviation
	const minVariance = 0.01
	return math.Pow(deviationFactor*w.dev, 2) + minVariance + 1/float64(1+w.len())
}

// farShare returns the share of the values that are far off the median.
func (w *window) farShare() float64 {
	w.update()
	return w.far
}

// bounds returns the least and the largest value.
func (w *window) bounds() (least, largest float64) {
	w.update()
	return w.least, w.largest
}

// update computes the figures about the values if they are stale.
func (w *window) update() {
	if !w.isStale {
		return
	}
	w.isStale = false
	var sorted [windowSize]float32
	n := copy(sorted[:], w.values[:w.len()])
	w.mid = middle(sorted[:n])
	w.least, w.largest = float64(sorted[0]), float64(sorted[n-1])
	far := 0
	for i := range n {
		sorted[i] = float32(math.Abs(float64(sorted[i]) - w.mid))
		if sorted[i] > farOff {
			far++
		}
	}
	w.dev, w.far = middle(sorted[:n]), float64(far)/float64(n)
}

// middle sorts the values and returns their median, 0 if there are none.
func middle(values []float32) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[(len(values)-1)/2]+values[len(values)/2]) / 2
}
