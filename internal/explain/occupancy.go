package explain

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Messages of the lines that tell where requests and items were.
const (
	msgSent     = "sent"
	msgItemSent = "item sent"
	msgTarget   = "target"
	msgGone     = "target gone"
	msgJobEnd   = "job end"
)

// run is one attempt of a request, or one run of an item, at a target.
type run struct {
	target     string
	batch      bool
	begin, end time.Time
	// start is how long it took until its first event, which an engine needs to read the prompt. Without an event it is the
	// whole run.
	start time.Duration
	// tail is what came to nothing at its end: the part of an event that was under way.
	tail time.Duration
	// again is the time that made events which another run of the item has made, too.
	again time.Duration
	// lost says that nothing came of it, unseen that its process did not live to see its end.
	lost, unseen bool
}

// targetSpan is a target while it was listed.
type targetSpan struct {
	slots      int
	service    string
	begin, end time.Time // a zero end is that of the logs
}

// change is a number of waiting items that changes at a moment.
type change struct {
	at time.Time
	by int
}

// occupancy is what logs say of the slots of targets and who had them.
type occupancy struct {
	begin, end time.Time
	targets    map[string]*targetSpan
	runs       []run
	waiting    []change // batch items that could run and do not
}

// readOccupancy reads the logs of all processes, in the order of time.
func readOccupancy(lines []Line) *occupancy {
	r := &occupancyReader{
		occ:  &occupancy{targets: make(map[string]*targetSpan)},
		open: make(map[runKey]*run), running: make(map[string]int), reached: make(map[string]int64), items: make(map[string]bool), jobs: make(map[string]int),
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		r.take(l)
	}
	r.finish()
	return r.occ
}

// runKey names the request or item that one process has under way.
type runKey struct{ source, id string }

// occupancyReader makes an occupancy of the lines of all processes.
type occupancyReader struct {
	occ     *occupancy
	open    map[runKey]*run
	running map[string]int   // processes that have an item under way
	reached map[string]int64 // the last event that any run of an item has made
	items   map[string]bool  // that are done or whose end is on its way
	jobs    map[string]int   // items of a job that are open
}

func (r *occupancyReader) take(l Line) {
	if r.occ.begin.IsZero() {
		r.occ.begin = l.Time
	}
	r.occ.end = l.Time
	switch l.text(keyMessage) {
	case msgTarget:
		r.target(l)
	case msgGone:
		if t, ok := r.occ.targets[l.text("target")]; ok {
			t.end = l.Time
		}
	case msgStarted:
		r.processGone(l)
	case msgSent:
		r.sent(l)
	case msgRequest:
		r.request(l)
	case msgItemSent:
		r.itemSent(l)
	case msgRun:
		r.itemRun(l)
	case msgJob:
		r.job(l)
	case msgJobEnd:
		r.jobEnd(l)
	case msgItem:
		r.itemDone(l.text("job"), l.text("item"), l.Time)
	}
}

func (r *occupancyReader) target(l Line) {
	id := l.text("target")
	t, ok := r.occ.targets[id]
	if !ok {
		t = &targetSpan{begin: l.Time, service: l.text("service")}
		r.occ.targets[id] = t
	}
	t.slots, t.end = int(l.number("slots")), time.Time{}
}

// processGone closes what a process had under way before it started again.
func (r *occupancyReader) processGone(l Line) {
	for key, s := range r.open {
		if key.source == l.Source {
			r.unseen(key, s, l.Time)
		}
	}
}

// unseen closes a run whose end nobody has seen. Its length is set in finish.
func (r *occupancyReader) unseen(key runKey, s *run, at time.Time) {
	s.unseen = true
	delete(r.open, key)
	r.occ.runs = append(r.occ.runs, *s)
	if s.batch {
		r.countRun(key.id, at, -1)
	}
}

// countRun counts the processes that have an item under way: with none it waits.
func (r *occupancyReader) countRun(item string, at time.Time, by int) {
	before := r.running[item]
	r.running[item] = max(0, before+by)
	switch {
	case before == 0 && by > 0:
		r.wait(at, -1)
	case before == 1 && by < 0:
		r.wait(at, 1)
	}
}

func (r *occupancyReader) sent(l Line) {
	key := runKey{l.Source, l.text("request")}
	if s, ok := r.open[key]; ok { // the attempt before
		r.close(key, s, l.Time, true)
	}
	r.open[key] = &run{target: targetOf(l), begin: l.Time}
}

func (r *occupancyReader) request(l Line) {
	key := runKey{l.Source, l.text("request")}
	s, ok := r.open[key]
	if !ok {
		return
	}
	s.start = millis(l, "first_ms")
	r.close(key, s, l.Time, l.text("outcome") != "served")
}

// close ends a run.
func (r *occupancyReader) close(key runKey, s *run, end time.Time, lost bool) {
	s.end, s.lost = end, lost
	if took := end.Sub(s.begin); s.start <= 0 || s.start > took {
		s.start = took
	}
	delete(r.open, key)
	r.occ.runs = append(r.occ.runs, *s)
}

func (r *occupancyReader) itemSent(l Line) {
	key := runKey{l.Source, l.text("item")}
	if s, ok := r.open[key]; ok {
		r.unseen(key, s, l.Time) // the line of its end was left out
	}
	r.open[key] = &run{target: targetOf(l), batch: true, begin: l.Time}
	r.countRun(l.text("item"), l.Time, 1)
}

func (r *occupancyReader) itemRun(l Line) {
	key := runKey{l.Source, l.text("item")}
	s, ok := r.open[key]
	if !ok {
		return
	}
	s.start, s.tail = millis(l, "first_ms"), millis(l, "idle_ms")
	from, to := eventNumber(l.text("from_event")), eventNumber(l.text("to_event"))
	if l.text("verdict") == "complete" {
		s.tail = 0
	}
	s.again = again(l.Time.Sub(s.begin)-s.start-s.tail, from, to, r.reached[key.id])
	r.reached[key.id] = max(r.reached[key.id], to)
	r.close(key, s, l.Time, to == from)
	r.countRun(key.id, l.Time, -1)
	if v := l.text("verdict"); v == "complete" || v == "hopeless" {
		r.itemDone(l.text("job"), key.id, l.Time)
	}
}

// again is the part of a run that made events up to one that another run had reached.
func again(took time.Duration, from, to, reached int64) time.Duration {
	if reached <= from || to <= from {
		return 0
	}
	share := float64(min(to, reached)-from) / float64(to-from)
	return max(0, time.Duration(share*float64(took)))
}

// job counts the items of a job that was accepted. It may have been handed in more than once.
func (r *occupancyReader) job(l Line) {
	id := l.text("request")
	if _, ok := r.jobs[id]; ok || l.text("outcome") != "done" {
		return
	}
	n := int(l.number("items"))
	r.jobs[id] = n
	r.wait(l.Time, n)
}

// jobEnd drops the items of a job whose caller wants no more of it.
func (r *occupancyReader) jobEnd(l Line) {
	id := l.text("job")
	if l.text("outcome") != "done" {
		return
	}
	r.wait(l.Time, -r.jobs[id])
	r.jobs[id] = 0
}

// itemDone counts an item's end once: it is known at its last run and again when it lies in the store.
func (r *occupancyReader) itemDone(job, item string, at time.Time) {
	if r.jobs[job] == 0 || r.items[item] {
		return
	}
	r.items[item] = true
	r.jobs[job]--
	r.wait(at, -1)
}

func (r *occupancyReader) wait(at time.Time, by int) {
	r.occ.waiting = append(r.occ.waiting, change{at, by})
}

// finish closes what is open at the end of the logs, and gives runs that nobody saw the end of the length that others have: a target
// works on until it notices, at the longest until the work is done.
func (r *occupancyReader) finish() {
	for key, s := range r.open {
		r.unseen(key, s, r.occ.end)
	}
	usual := map[bool]time.Duration{false: r.usual(false), true: r.usual(true)}
	for i := range r.occ.runs {
		if s := &r.occ.runs[i]; s.unseen {
			s.end = s.begin.Add(usual[s.batch])
		}
	}
	for _, t := range r.occ.targets {
		if t.end.IsZero() {
			t.end = r.occ.end
		}
	}
	slices.SortStableFunc(r.occ.waiting, func(a, b change) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(r.occ.runs, func(a, b run) int { return cmp.Or(a.begin.Compare(b.begin), cmp.Compare(a.target, b.target)) })
}

// usual is the mean length of runs that ended.
func (r *occupancyReader) usual(batch bool) time.Duration {
	var sum time.Duration
	n := 0
	for _, s := range r.occ.runs {
		if s.batch == batch && !s.unseen {
			sum += s.end.Sub(s.begin)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// targetOf is the id at the beginning of a choice; see fleet.Choice.
func targetOf(l Line) string {
	id, _, _ := strings.Cut(l.text("target"), " ")
	return id
}

// millis reads a time in milliseconds, which may have a fraction.
func millis(l Line, key string) time.Duration {
	n, ok := l.Fields[key].(json.Number)
	if !ok {
		return 0
	}
	ms, err := n.Float64()
	if err != nil {
		return 0 // the field holds no number: the line is of another program
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// eventNumber reads the id of an event; 0 is none. Ids that are no numbers tell no progress.
func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
