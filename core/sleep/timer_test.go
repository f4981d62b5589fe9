package sleep

import (
	"testing"
	"testing/synctest"
	"time"
)

// A value must be pending on C although nothing received from C when the timer fired.
func TestTimerFiresWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		defer timer.Stop()
		time.Sleep(time.Minute)
		select {
		case <-timer.C:
		default:
			t.Fatal("no value on C 1 min after setting a timer of 1 s")
		}
	})
}

// Reset must discard the pending value of the previous wait.
func TestResetDiscardsPreviousFiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		defer timer.Stop()
		time.Sleep(time.Minute)
		start := time.Now()
		timer.Reset(time.Hour)
		<-timer.C
		if waited := time.Since(start); waited != time.Hour {
			t.Fatalf("a value arrived %v after Reset, want 1h", waited)
		}
	})
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		timer.Stop()
		select {
		case <-timer.C:
			t.Fatal("a stopped timer has fired")
		case <-time.After(time.Minute):
		}
	})
}

// Guards against a test process that crashes with a segmentation fault inside the race detector; the comment of
// AfterFunc describes the fault. Several loops in one bubble set timers that are due at once, or are busy while
// their timers expire, and the clock of the bubble calls the functions of other timers at the same moment. With
// time.NewTicker in place of NewTimer this test crashed in 4 of 4 runs under the race detector, and likewise with
// time.AfterFunc in place of AfterFunc.
func TestTimersOfBusyLoopsDoNotCrashRaceDetector(t *testing.T) {
	const (
		loops          = 16
		afterFuncLoops = 64
		busyTime       = 5 * time.Millisecond
		runTime        = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		for range loops {
			go func() {
				timer := NewTimer(busyTime / 2)
				defer timer.Stop()
				for For(ctx, busyTime) {
					immediate := AfterFunc(0, func() {})
					immediate.Stop()
					select {
					case <-timer.C:
						timer.Reset(busyTime / 2)
					default:
					}
				}
			}()
		}
		for range afterFuncLoops {
			go func() {
				started := make(chan struct{})
				for For(ctx, busyTime) {
					AfterFunc(busyTime, func() { started <- struct{}{} })
					<-started
				}
			}()
		}
		time.Sleep(runTime)
	})
}
