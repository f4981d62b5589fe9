package singlesend

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a set that grows with each key, or remembers one for ever.
func TestRecentSetForgets(t *testing.T) {
	const (
		retention = time.Second
		maxKeys   = 1000
	)
	set := NewRecentSet(retention, maxKeys)
	now := time.Now()
	set.Note("a", now)
	if !set.Has("a", now.Add(retention-1)) || set.Has("b", now) {
		t.Error("want that only the key that was noted is remembered")
	}
	if set.Has("a", now.Add(retention)) || set.count.Load() != 0 {
		t.Error("a key is remembered for longer than the retention period")
	}
	for i := range 3 * maxKeys {
		set.Note(fmt.Sprint(i), now)
		if !set.Has(fmt.Sprint(i), now) {
			t.Fatal("the newest key is not remembered")
		}
	}
	if n := len(set.expiry); n != maxKeys {
		t.Errorf("%d keys remembered, want %d", n, maxKeys)
	}
	set.Note("later", now.Add(retention))
	if n := len(set.expiry); n != 1 {
		t.Errorf("%d keys remembered after the others have expired, want 1", n)
	}
}
