package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/sleep"
)

const (
	// queuedLines is how many lines wait for a reader that stalls.
	queuedLines = 4096
	// queuedBytes bounds the same lines in bytes: most have about 400, but that of a request that was sent
	// to many targets has 2 KB.
	queuedBytes = 4 << 20
	// maxLineBytes is the length of the longest line that is written whole, in bytes, cutLineBytes that of the begin of a longer
	// one.
	maxLineBytes = 16 << 10
	cutLineBytes = 2 << 10
	// routineShare of the queue is open to lines below warn: a reader that stalls must not cost
	// the lines of failures for those of requests that went well.
	routineShare = 0.5
	// timeFormat is that of the timestamps of other lines.
	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
)

// Async is a writer that never blocks its callers: a reader of the process's output that stalls
// must not stall requests. Lines that find the queue full are left out, and the next line that
// gets through says how many, and since when.
type Async struct {
	to    io.Writer
	lines chan queued
	bytes atomic.Int64 // of the lines in the queue
	total atomic.Int64 // lines left out since the start

	mu        sync.Mutex // guards lost and lostSince
	lost      int64      // lines left out since the last report of them
	lostSince time.Time  // when the first of them was left out
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
	share := 1.0
	if level < hclog.Warn {
		share = routineShare
	}
	if float64(len(a.lines)) >= share*queuedLines || float64(a.bytes.Load()) >= share*queuedBytes {
		a.leaveOut()
		return len(p), nil
	}
	line := cut(p)
	a.bytes.Add(int64(len(line)))
	select {
	case a.lines <- queued{line: append([]byte(nil), line...)}:
	default:
		a.bytes.Add(-int64(len(line)))
		a.leaveOut()
	}
	return len(p), nil
}

// cut returns a line, or its begin in a line that is marked as cut if it is longer than maxLineBytes: it holds words of
// clients, which may be as long as the head of a request.
func cut(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return line
	}
	begin := strings.ToValidUTF8(string(line[:cutLineBytes]), "")
	short, err := json.Marshal(map[string]any{"@level": "warn", "@message": "line cut", "bytes": len(line), "begin": begin})
	if err != nil {
		return nil // strings and numbers can always be encoded
	}
	return append(short, '\n')
}

// leaveOut counts a line that is left out.
func (a *Async) leaveOut() {
	a.total.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost == 0 {
		a.lostSince = time.Now()
	}
	a.lost++
}

// takeLost returns how many lines were left out since its last call, and when the first of them was.
func (a *Async) takeLost() (n int64, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, a.lost = a.lost, 0
	return n, a.lostSince
}

// LeftOut returns how many lines were left out since the start.
func (a *Async) LeftOut() int64 { return a.total.Load() }

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
		a.bytes.Add(-int64(len(q.line)))
		if n, since := a.takeLost(); n > 0 {
			fmt.Fprintf(a.to, "{\"@level\":\"warn\",\"@message\":\"log lines left out\",\"@timestamp\":%q,\"lines\":%d,\"since\":%q}\n",
				time.Now().Format(timeFormat), n, since.Format(timeFormat))
		}
		// Output that can't be written has no other place to be reported.
		_, _ = a.to.Write(q.line)
	}
}
