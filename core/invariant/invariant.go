// Package invariant counts violations of what must always hold. A check costs
// nothing when it holds; a violation is counted and handed to a hook, which logs
// it loudly in production and fails the run in tests.
package invariant

import "sync"

// Name names one invariant.
type Name string

// The invariants of batch jobs.
const (
	// OneResult: no item gets two results.
	OneResult Name = "one_result"
	// NoneLost: no accepted item is without a result when its job ends.
	NoneLost Name = "none_lost"
	// NoStartAfterCancel: no item is handed out once its job's cancel is folded.
	NoStartAfterCancel Name = "no_start_after_cancel"
	// CurrentEpoch: no record of another epoch takes effect.
	CurrentEpoch Name = "current_epoch"
	// OneCopy: no second copy of an append takes effect.
	OneCopy Name = "one_copy"
	// OneStart: an item that runs at most once is started at most once.
	OneStart Name = "one_start"
	// Readable: what must be readable is still in the log.
	Readable Name = "readable"
)

// Violation is one broken invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Checker counts violations. The zero value works; a nil Checker ignores all.
// It is safe for concurrent use.
type Checker struct {
	mu     sync.Mutex
	counts map[Name]int
	hook   func(Violation)
}

// NewChecker returns a Checker that calls hook, which may be nil, at each violation.
func NewChecker(hook func(Violation)) *Checker {
	return &Checker{hook: hook}
}

// Check records a violation of n unless ok holds.
func (c *Checker) Check(ok bool, n Name, detail string) {
	if ok || c == nil {
		return
	}
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[Name]int)
	}
	c.counts[n]++
	hook := c.hook
	c.mu.Unlock()
	if hook != nil {
		hook(Violation{Name: n, Detail: detail})
	}
}

// Counts returns a copy of the violations by name.
func (c *Checker) Counts() map[Name]int {
	out := make(map[Name]int)
	if c == nil {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, k := range c.counts {
		out[n] = k
	}
	return out
}

// Total returns the number of violations.
func (c *Checker) Total() int {
	total := 0
	for _, k := range c.Counts() {
		total += k
	}
	return total
}
