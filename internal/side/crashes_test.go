package side

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/structs"
)

// encodedCrash is the record of a content under which a target has crashed.
func encodedCrash(t *testing.T, content byte, target string, at time.Time) []byte {
	t.Helper()
	g := quarantine.NewRegistry(quarantine.Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold})
	g.NoteCrash(at, quarantine.Fingerprint{content}, quarantine.NewCrash(target, target, at, at))
	data, err := g.Records()[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against records that go round between entries without end, and against an entry that connects later and knows nothing.
func TestRecordsOfCrashesArePassedOnOnce(t *testing.T) {
	now := time.Now()
	c := newCrashes(now)
	frame := &structs.Crashes{Records: [][]byte{encodedCrash(t, 1, "a", now), encodedCrash(t, 1, "b", now), encodedCrash(t, 1, "a", now)}}
	news, err := c.take(now, frame)
	if err != nil || len(news) != 2 {
		t.Errorf("%d records are new, want 2: %v", len(news), err)
	}
	if news, err := c.take(now, frame); err != nil || len(news) != 0 {
		t.Errorf("%d records are new the second time: %v", len(news), err)
	}
	if list, err := c.all(); err != nil || len(list) != 1 {
		t.Errorf("%d records for an entry that connects, want 1: %v", len(list), err)
	}
	if _, err := c.take(now, &structs.Crashes{Records: [][]byte{[]byte("text")}}); !errs.Is(err, errs.BadFrame) {
		t.Errorf("a broken record is taken: %v", err)
	}
}

// Guards against one crash that counts for each run that it breaks off, and against two crashes that count once.
func TestRunsThatOneCrashBreaksOffNameOneStart(t *testing.T) {
	now := time.Now()
	c := newCrashes(now)
	first := c.startOf("engine", now, now.Add(time.Second))
	if again := c.startOf("engine", now.Add(500*time.Millisecond), now.Add(1200*time.Millisecond)); again != first {
		t.Errorf("%q and %q for one crash", first, again)
	}
	if next := c.startOf("engine", now.Add(1500*time.Millisecond), now.Add(2*time.Second)); next == first {
		t.Errorf("%q for two crashes", first)
	}
	if other := newCrashes(now.Add(time.Hour)).startOf("engine", now, now); other == first {
		t.Error("another process of the side names a start of its own the same")
	}
}
