package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/client"
)

const (
	readEvery   = 100 * time.Millisecond
	readTimeout = 5 * time.Second
	clock       = "15:04:05.000" // in the log's own zone
)

// reader reads results of jobs beside all else, through any entry.
type reader struct {
	w   *world
	rng *rand.Rand
}

func (r *reader) run(ctx context.Context) {
	for sleep.For(ctx, readEvery) {
		var known []*sentJob
		for _, j := range r.w.hist.sent() {
			if r.w.hist.mayRead(j, r.w.o.Promise) {
				known = append(known, j)
			}
		}
		if len(known) == 0 {
			continue
		}
		j := known[r.rng.IntN(len(known))]
		entry := r.rng.IntN(entries)
		begun := time.Now()
		_, err := r.w.read(ctx, entry, j)
		if errs.Is(err, errs.NotFound) && r.w.hist.mayRead(j, r.w.o.Promise) {
			r.w.hist.violation("unreadable", fmt.Sprintf("%s was accepted and is not there; read through entry %d, %s to %s: %v",
				j.key, entry+1, begun.Format(clock), time.Now().Format(clock), err))
		}
	}
}

// mayRead says whether j was accepted and can't be past its promise, which counts from its end.
func (h *history) mayRead(j *sentJob, promise time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return j.answer && time.Since(j.acceptedAt) < promise
}

// read reads all results of j and compares each with what was read before. It returns
// how many there are.
func (w *world) read(ctx context.Context, entry int, j *sentJob) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n, last := 0, -1
	err := w.client(entry).Results(ctx, j.id, false, func(text []byte) error {
		var line client.JobLine
		if err := json.Unmarshal(text, &line); err != nil {
			return errs.New(errs.BadFrame, err.Error())
		}
		if line.Index <= last {
			w.hist.violation("order", fmt.Sprintf("%s: item %d after %d", j.key, line.Index, last))
		}
		n, last = n+1, line.Index
		w.hist.saw(j, &line)
		return nil
	})
	return n, err
}

func lineShape(l *client.JobLine) string {
	if l.Error != nil {
		return fmt.Sprintf("%s error %s", l.CustomID, l.Error.Type)
	}
	if l.Response == nil {
		return l.CustomID + " nothing"
	}
	return shapeAnswer(l.CustomID, l.Response.Status, l.Response.Body)
}

// saw notes a result that a caller has read.
func (h *history) saw(j *sentJob, l *client.JobLine) {
	got := lineShape(l)
	h.mu.Lock()
	defer h.mu.Unlock()
	before, ok := j.seen[l.Index]
	if ok && before != got {
		h.violationLocked("duplicated", fmt.Sprintf("%s item %d was %q, then %q", j.key, l.Index, before, got))
	}
	j.seen[l.Index] = got
}
