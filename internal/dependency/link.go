// Package dependency logs once when something that a process depends on is lost, and once when it
// is back: a line for each failed call would bury all others in an outage.
package dependency

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/sleep"
)

// Link is the state of one dependency.
type Link struct {
	log  hclog.Logger
	name string

	mu   sync.Mutex
	down time.Time // since when; zero while it is up
	ever bool      // it has answered before
}

// NewLink returns a link that has not answered yet.
func NewLink(log hclog.Logger, name string) *Link { return &Link{log: log, name: name} }

// Lost notes a call that failed.
func (l *Link) Lost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down.IsZero() {
		return
	}
	l.down = time.Now()
	l.log.Warn("dependency lost", "dependency", l.name, "error", err)
}

// Up notes an answer. It reports whether the dependency had answered before, was lost and is back.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasDown := !l.down.IsZero()
	if wasDown {
		l.log.Info("dependency back", "dependency", l.name, "away_ms", time.Since(l.down).Milliseconds())
	}
	if !l.ever && !wasDown {
		l.log.Info("dependency reached", "dependency", l.name)
	}
	back := wasDown && l.ever
	l.down = time.Time{}
	l.ever = true
	return back
}

// Patience is how long a question to the dependency may wait for news: not at all while it is lost. A
// question that the network drops would otherwise be given up only after the whole wait, and what has
// changed meanwhile be learned that much later.
func (l *Link) Patience(wait time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down.IsZero() {
		return 0
	}
	return wait
}

// Pauses are the times between two reads of a dependency.
type Pauses struct {
	Answered time.Duration // after an answer, so that news gather
	Failed   time.Duration
	// More is what comes to Answered; nil is nothing.
	More func() time.Duration
}

// answered is the pause after an answer.
func (p Pauses) answered() time.Duration {
	if p.More == nil {
		return p.Answered
	}
	return p.Answered + p.More()
}

// Follow reads again and again until ctx ends. take is called after each answer and told whether the
// dependency is back from a loss by it.
func (l *Link) Follow(ctx context.Context, p Pauses, read func() error, take func(back bool)) {
	for ctx.Err() == nil {
		err := read()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.Lost(err)
			sleep.For(ctx, p.Failed)
			continue
		}
		take(l.Up())
		sleep.For(ctx, p.answered())
	}
}
