package sleep

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTimerFiresWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		defer timer.Stop()
		time.Sleep(time.Minute)
		select {
		case <-timer.C:
		default:
			t.Fatal("the timer has not fired")
		}
	})
}

func TestResetDiscardsPreviousFiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		defer timer.Stop()
		time.Sleep(time.Minute)
		start := time.Now()
		timer.Reset(time.Hour)
		<-timer.C
		if waited := time.Since(start); waited != time.Hour {
			t.Fatalf("fired after %v", waited)
		}
	})
}

func TestStoppedTimerDoesNotFire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewTimer(time.Second)
		timer.Stop()
		select {
		case <-timer.C:
			t.Fatal("the timer has fired")
		case <-time.After(time.Minute):
		}
	})
}

// Guards against a test process that dies of a segmentation fault inside the race detector. Several loops
// in one bubble set timers that are due at once, or are busy while their timers expire, and the clock of
// the bubble starts functions at the same moment. Such timers fire on the thread of the loop, with the same
// detector context as the clock. With time.NewTicker in place of NewTimer this test died in 4 of 4 runs
// under the race detector, and with time.AfterFunc in place of AfterFunc as well.
func TestTimersOfBusyLoopsDoNotCrashRaceDetector(t *testing.T) {
	const (
		loops     = 16
		functions = 64
		busyTime  = 5 * time.Millisecond
		runTime   = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		for range loops {
			go func() {
				timer := NewTimer(busyTime / 2)
				defer timer.Stop()
				for For(ctx, busyTime) {
					now := AfterFunc(0, func() {})
					now.Stop()
					select {
					case <-timer.C:
						timer.Reset(busyTime / 2)
					default:
					}
				}
			}()
		}
		for range functions {
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
