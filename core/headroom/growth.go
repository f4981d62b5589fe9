package headroom

import (
	"math"
	"time"
)

const (
	// countClasses is the number of classes of counts. Each is a sixteenth of the slots wide, so that they reach
	// to twice the slots.
	countClasses  = 32
	classesInFull = 16
	// growthClasses is the number of classes of the growth of a count, each a thirty-second of the slots wide.
	growthClasses = 32
	// minWeight is the weight of observations below which a distribution is replaced by a more general one.
	minWeight = 24
	// decayInterval is the time between two steps of the decay of observations.
	decayInterval = time.Second
)

// distribution counts observations of the growth of a count within the gain time, by class of growth.
type distribution struct {
	weights [growthClasses]float32
	total   float32
}

// growth is the distribution of the maximum number of online requests at a target within the gain time, as growth
// over the number at its beginning, by the class of that number and the trend of the demand. A target that is nearly full
// keeps its slots while the demand falls, and loses them at a steady high level.
type growth struct {
	byCount   [trends][countClasses]distribution
	all       distribution
	decayedAt time.Time
}

func countClass(online, slots int) int {
	return min(countClasses-1, max(0, online)*classesInFull/slots)
}

// add records that a count has grown by at most grown requests.
func (g *growth) add(online, grown, slots int, t trend) {
	class := min(growthClasses-1, grown*growthClasses/slots)
	for _, d := range []*distribution{&g.byCount[t][countClass(online, slots)], &g.all} {
		d.weights[class]++
		d.total++
	}
}

// decay reduces the weight of earlier observations by their age.
func (g *growth) decay(now time.Time) {
	if g.decayedAt.IsZero() {
		g.decayedAt = now
	}
	elapsed := now.Sub(g.decayedAt)
	if elapsed < decayInterval {
		return
	}
	g.decayedAt = now
	factor := float32(math.Exp(-float64(elapsed) / float64(windowTime)))
	g.all.scale(factor)
	for i := range g.byCount {
		for j := range g.byCount[i] {
			g.byCount[i][j].scale(factor)
		}
	}
}

func (d *distribution) scale(factor float32) {
	if d.total == 0 {
		return
	}
	d.total = 0
	for i := range d.weights {
		d.weights[i] *= factor
		d.total += d.weights[i]
	}
}

// atMost returns the probability that a count grows by at most room requests. With too few observations of the
// count and the trend, it is that of the count in any demand, then that of all counts, and then 1.
func (g *growth) atMost(online, room, slots int, t trend) float64 {
	class := countClass(online, slots)
	if own := &g.byCount[t][class]; own.total >= minWeight {
		return float64(own.weightAtMost(room, slots) / own.total)
	}
	var weight, total float32
	for i := range g.byCount {
		weight += g.byCount[i][class].weightAtMost(room, slots)
		total += g.byCount[i][class].total
	}
	if total < minWeight {
		weight, total = g.all.weightAtMost(room, slots), g.all.total
	}
	if total < minWeight {
		return 1
	}
	return float64(weight / total)
}

// weightAtMost returns the weight of the classes that contain only growths of at most room requests. The last
// class has no upper end.
func (d *distribution) weightAtMost(room, slots int) float32 {
	var sum float32
	for class := range growthClasses - 1 {
		if (class+1)*slots > (room+1)*growthClasses { // the class reaches beyond room
			break
		}
		sum += d.weights[class]
	}
	return sum
}

const (
	// maxWatches bounds the targets of a service that are watched at the same time. Services with more targets
	// have them watched in turn.
	maxWatches = 256
	// turnGainTimes is how many gain times a target is watched before the turn passes on.
	turnGainTimes = 5
	// maxPending bounds the observations of a target that wait for the end of the gain time.
	maxPending = 16
)

// watches follows the counts of up to maxWatches targets over the gain time.
type watches struct {
	list      []watch
	offset    int       // index in the counts of the first watched target
	turnSince time.Time // when offset last changed
}

// watch holds the counts of one target that were observed within the last gain time.
type watch struct {
	target  string
	pending [maxPending]pending
	first   int // index of the oldest one
	length  int
}

type pending struct {
	at     time.Time
	online int
	peak   int // since the observation before
	trend  trend
}

// observe records the counts of the watched targets, and adds to g the growths whose gain time has ended.
func (ws *watches) observe(now time.Time, counts []Count, t trend, gainTime time.Duration, g *growth) {
	if len(counts) > maxWatches && now.Sub(ws.turnSince) > turnGainTimes*gainTime {
		ws.turnSince = now
		ws.offset = (ws.offset + maxWatches) % len(counts)
		clear(ws.list)
	}
	n := min(maxWatches, len(counts))
	for len(ws.list) < n {
		ws.list = append(ws.list, watch{})
	}
	ws.list = ws.list[:n]
	for i := range ws.list {
		c := &counts[(ws.offset+i)%len(counts)]
		w := &ws.list[i]
		if w.target != c.Target {
			*w = watch{target: c.Target}
		}
		if c.Slots > 0 {
			w.observe(now, c, t, gainTime, g)
		}
	}
}

// observe records a count, and adds to g the growths whose gain time has ended.
func (w *watch) observe(now time.Time, c *Count, t trend, gainTime time.Duration, g *growth) {
	if w.length > 0 && now.Sub(w.at(w.length-1).at) > gainTime/2 {
		w.length = 0 // the maximum between two observations so far apart is unknown
	}
	for w.length > 0 && now.Sub(w.at(0).at) >= gainTime || w.length == maxPending {
		begin, highest := w.at(0), max(c.Online, c.Peak)
		for i := 1; i < w.length; i++ {
			highest = max(highest, w.at(i).online, w.at(i).peak)
		}
		highest = max(highest, begin.online)
		g.add(begin.online, highest-begin.online, c.Slots, begin.trend)
		w.first = (w.first + 1) % maxPending
		w.length--
	}
	*w.at(w.length) = pending{now, c.Online, c.Peak, t}
	w.length++
}

// at returns the i-th oldest pending observation.
func (w *watch) at(i int) *pending { return &w.pending[(w.first+i)%maxPending] }
