//go:build review

package rig

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of the rule LOST, for items that are not listed when finish_s is over.
const (
	// hadWindow is the time before the end in which a runner that had an item of the job excuses all of its items.
	hadWindow = 5 * time.Second
	// finishedWindow is the time before the end in which a finished item of any job excuses all items.
	finishedWindow = 3 * time.Second
	// failedWindow is the time before the end in which a failure at a runner excuses an item.
	failedWindow = 20 * time.Second
	// shortRun is the time within which a run that its sender ends counts neither as had nor as failed.
	shortRun = time.Second
)

// ItemRuns records what runners had of batch items.
type ItemRuns struct {
	record *Record

	mu         sync.Mutex
	reachedAt  map[string]time.Time // by item that a runner has
	begun      map[string]bool      // by item that a runner has: its run has begun
	hadAt      map[string]time.Time // by item, when a run that counts has ended
	failedAt   map[string]time.Time // by item, when it last failed at a runner
	finishedAt time.Time            // when an item was last finished
	runs       int
	cutShort   int // runs that their sender ended before they began
}

// itemPrefix begins the ids of all batch items of the cases, and those of no other request.
const itemPrefix = "job"

// NewItemRuns returns an empty record of runs.
func NewItemRuns(record *Record) *ItemRuns {
	return &ItemRuns{record: record, reachedAt: make(map[string]time.Time), begun: make(map[string]bool), hadAt: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

// NoteReached records that an item has reached a runner.
func (r *ItemRuns) NoteReached(runner, item string, at time.Time) {
	if !strings.HasPrefix(item, itemPrefix) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	r.reachedAt[item] = at
	delete(r.begun, item)
	r.record.Add("item %s reached runner %s", item, runner)
}

// NoteRun records that the run of an item has begun.
func (r *ItemRuns) NoteRun(runner, item string, _ time.Time) {
	if !strings.HasPrefix(item, itemPrefix) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[item] = true
	r.record.Add("item %s runs at %s", item, runner)
}

// NoteLeft records that a runner has an item no more, which it held for some time in a slot.
func (r *ItemRuns) NoteLeft(runner, item string, held time.Duration, isWhole bool) {
	if !strings.HasPrefix(item, itemPrefix) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	delete(r.reachedAt, item)
	if isWhole {
		r.finishedAt = now
	}
	if isWhole || held >= shortRun {
		r.hadAt[item] = now
	}
	if !isWhole && !r.begun[item] {
		r.cutShort++
	}
	r.record.Add("item %s left runner %s after %d ms, whole %v", item, runner, held.Milliseconds(), isWhole)
}

// NoteFailed records that the runner of an item has failed it.
func (r *ItemRuns) NoteFailed(item string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[item] = time.Now()
}

// isExcused reports whether the rule excuses that items of a job are not listed, whose runners have that many slots.
func (r *ItemRuns) isExcused(unlisted map[string]bool, slots int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.finishedAt) < finishedWindow || 2*len(r.reachedAt) >= slots {
		return true
	}
	failed := 0
	for item := range unlisted {
		if now.Sub(r.failedAt[item]) < failedWindow {
			failed++
		}
		reachedAt, isHad := r.reachedAt[item]
		if isHad && now.Sub(reachedAt) >= shortRun || now.Sub(r.hadAt[item]) < hadWindow {
			return true
		}
	}
	return failed == len(unlisted)
}

// JudgeFinish reads the results of all jobs at each gateway and returns the exit code of the case: ExitBroken if an item is
// not listed and the rule does not excuse that, or if a result is not the item's whole output. items are the ids of
// the items by job, events returns the number of events of each item of a job.
func JudgeFinish(s *System, client *Client, runs *ItemRuns, items map[string][]string, events func(job string) int) (int, error) {
	code, slots := ExitHeld, 0
	for _, r := range s.Runners {
		slots += r.Slots
	}
	for _, g := range s.Gateways {
		missing, wrong, all, isExcused := 0, 0, 0, false
		for job, ids := range items {
			texts, err := client.readAll(g.Callers, job)
			if err != nil {
				return 0, err
			}
			unlisted := make(map[string]bool)
			for _, id := range ids {
				if text, ok := texts[id]; !ok {
					unlisted[id] = true
				} else if text != ItemText(id, events(job), s.Runners[0].EventBytes) {
					wrong++
				}
			}
			all += len(ids)
			missing += len(unlisted)
			isJobExcused := len(unlisted) > 0 && runs.isExcused(unlisted, slots)
			isExcused = isExcused || isJobExcused
			if len(unlisted) > 0 && !isJobExcused {
				code = ExitBroken
			}
		}
		if wrong > 0 {
			code = ExitBroken
		}
		s.Record.Say("read at %s: %d of %d items are not listed, excused %v; %d are listed with another text than the whole one", g.Name, missing, all, isExcused, wrong)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	lastFinished := "no item was finished"
	if !runs.finishedAt.IsZero() {
		lastFinished = fmt.Sprintf("the last item was finished %.1f s ago", time.Since(runs.finishedAt).Seconds())
	}
	s.Record.Say("%d runs of items, %d of them ended by their sender before the first token; %s", runs.runs, runs.cutShort, lastFinished)
	return code, nil
}

// readAll returns the texts of all results of a job by item; that of an item that is not complete is empty.
func (c *Client) readAll(addr, job string) (map[string]string, error) {
	texts := make(map[string]string)
	for next := 0; ; {
		status, page := c.Results(addr, job, next)
		if status != 200 {
			return nil, fmt.Errorf("reading the results of job %s was answered with status %d", job, status)
		}
		if len(page.Results) == 0 {
			return texts, nil
		}
		for _, result := range page.Results {
			texts[result.ID] = ""
			if result.State == "complete" {
				texts[result.ID] = result.Text
			}
		}
		next = page.Next
		if next >= page.Total {
			return texts, nil
		}
	}
}
