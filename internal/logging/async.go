package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/sleep"
)

const (
	// queuedLines is how many lines wait for a reader that stalls; at about 400 bytes each they
	// take 1.6 MB at most.
	queuedLines = 4096
	// routineShare of the queue is open to lines below warn: a reader that stalls must not cost
	// the lines of failures for those of requests that went well.
	routineShare = 0.5
)

// Async is a writer that never blocks its callers: a reader of the process's output that stalls
// must not stall requests. Lines that find the queue full are left out, and the next line that
// gets through says how many.
type Async struct {
	to    io.Writer
	lines chan queued
	lost  atomic.Int64
}

// queued is a line on its way, or the mark of a Flush.
type queued struct {
	line    []byte
	reached chan struct{} // nil but for a mark; closed once all before it is written
}

// NewAsync returns a writer that passes lines on to w in the background.
func NewAsync(w io.Writer) *Async {
	a := &Async{to: w, lines: make(chan queued, queuedLines)}
	go a.run()
	return a
}

// Write implements io.Writer. p is one line.
func (a *Async) Write(p []byte) (int, error) { return a.LevelWrite(hclog.Warn, p) }

// LevelWrite implements hclog.LevelWriter.
func (a *Async) LevelWrite(level hclog.Level, p []byte) (int, error) {
	if level < hclog.Warn && float64(len(a.lines)) >= routineShare*queuedLines {
		a.lost.Add(1)
		return len(p), nil
	}
	select {
	case a.lines <- queued{line: append([]byte(nil), p...)}:
	default:
		a.lost.Add(1)
	}
	return len(p), nil
}

// Flush waits until all lines so far are written, up to a time: a process that ends at once would lose its
// last ones, and one whose reader stalls must end all the same. It reports whether they are.
func (a *Async) Flush(within time.Duration) bool {
	until := sleep.NewTimer(within)
	defer until.Stop()
	mark := queued{reached: make(chan struct{})}
	select {
	case a.lines <- mark:
	case <-until.C:
		return false
	}
	select {
	case <-mark.reached:
		return true
	case <-until.C:
		return false
	}
}

func (a *Async) run() {
	for q := range a.lines {
		if q.reached != nil {
			close(q.reached)
			continue
		}
		if n := a.lost.Swap(0); n > 0 {
			fmt.Fprintf(a.to, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"lines\":%d}\n", n)
		}
		// Output that can't be written has no other place to be reported.
		_, _ = a.to.Write(q.line)
	}
}
