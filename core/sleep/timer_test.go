package sleep

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestTimerFiresWhileNobodyWaits(t *testing.T) {
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

func TestResetForgetsAnOldFiring(t *testing.T) {
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

func TestAStoppedTimerDoesNotFire(t *testing.T) {
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

// Symptom: a test process dies of a segmentation fault inside the race detector. Events: several
// loops set timers that are due at once, or are busy while their timers pass, in one bubble, while the
// bubble's clock starts functions at the same moment. Cause: such timers fire on the thread of the loop, with the
// same context of the detector as the bubble's clock. With time.NewTicker in place of NewTimer this
// test died in 4 of 4 runs under the race detector, with time.AfterFunc in place of AfterFunc too.
func TestTimersOfBusyLoopsLeaveTheRaceDetectorWhole(t *testing.T) {
	const (
		loops     = 16
		functions = 64
		busy      = 5 * time.Millisecond
		lasts     = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		for range loops {
			go func() {
				timer := NewTimer(busy / 2)
				defer timer.Stop()
				for For(ctx, busy) {
					now := AfterFunc(0, func() {})
					now.Stop()
					select {
					case <-timer.C:
						timer.Reset(busy / 2)
					default:
					}
				}
			}()
		}
		for range functions {
			go func() {
				started := make(chan struct{})
				for For(ctx, busy) {
					AfterFunc(busy, func() { started <- struct{}{} })
					<-started
				}
			}()
		}
		time.Sleep(lasts)
	})
}
