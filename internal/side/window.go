package side

import (
	"context"
	"math"
	"sync"
)

// window is a stream's credit: how many bytes of Data the entry still takes. A
// part may overdraw it once, so that a part larger than the whole window gets through.
type window struct {
	mu     sync.Mutex
	credit int
	wake   chan struct{} // made by the first taker that has to wait
}

// tryTake spends n if there is any credit.
func (w *window) tryTake(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.credit <= 0 {
		return false
	}
	w.credit -= n
	return true
}

// take waits for credit and spends n. One goroutine takes at a time.
func (w *window) take(ctx context.Context, n int) error {
	for !w.tryTake(n) {
		select {
		case <-w.waiting():
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

func (w *window) waiting() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	if w.credit > 0 {
		w.signal()
	}
	return w.wake
}

func (w *window) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.credit = min(w.credit+n, math.MaxInt32)
	w.signal()
}

// signal wakes the taker; w.mu is held.
func (w *window) signal() {
	if w.wake == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
