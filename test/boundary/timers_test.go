package boundary

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// unsafeTimers are the calls of package time that set a timer which may fire on another thread than
// the one that advances a bubble's clock.
var unsafeTimers = []string{"time.NewTicker(", "time.NewTimer(", "time.Tick(", "time.After(", "time.AfterFunc("}

// realClock are the folders whose code never runs inside a synctest bubble.
var realClock = []string{"core/sleep/", "internal/lab/", "internal/command/", "internal/dev/", "internal/entry/socket_test.go"}

// Symptom: a test process dies of a segmentation fault inside the race detector, up to once in two
// runs. Events: in a synctest bubble a timer is set that is due at once, or one with a channel passes while its
// reader is busy; it fires on that thread while the bubble's clock fires another. Cause: both use the one
// context that the detector has for the bubble's timers. The timers of package sleep fire nowhere but at the clock.
func TestCodeThatRunsInBubblesSetsItsTimersWithSleep(t *testing.T) {
	goFiles(t, func(path string, data []byte) {
		inBubble := strings.HasPrefix(path, "core/") || strings.HasPrefix(path, "internal/") || strings.HasPrefix(path, "standin/keyedlog/")
		if !inBubble || slices.ContainsFunc(realClock, func(p string) bool { return strings.HasPrefix(path, p) }) {
			return
		}
		for _, call := range unsafeTimers {
			if bytes.Contains(data, []byte(call)) {
				t.Errorf("%s calls %s): package sleep has what serves in a bubble", path, call)
			}
		}
	})
}
