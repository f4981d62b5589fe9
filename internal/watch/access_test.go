package watch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
	"arbutusramp/internal/fleetview"
)

// newKeyedConfig returns a configuration in which workspace w holds the given keys and "/public/" is
// public.
func newKeyedConfig(version uint64, keys ...string) *serving.Config {
	rank := 1
	w := workspace.Workspace{Name: "w", Rank: &rank}
	for _, key := range keys {
		w.Keys = append(w.Keys, workspace.DigestOf(key))
	}
	c := newConfig(version, "/a/", "/public/")
	c.Routes[1].IsPublic = true
	c.KeysRequired = true
	c.Workspaces = []workspace.Workspace{w}
	return c
}

func newCredential(key string) workspace.Credential {
	return workspace.ParseAuthorization([]string{"Bearer " + key})
}

// runWatchWithKeys is runWatch with required keys and a revocation bound of 5 s.
func runWatchWithKeys(t *testing.T, f func(d *fakeDirectory, w *Watch, route, public *serving.Route)) {
	d := &fakeDirectory{revokeWithin: 5 * time.Second, configs: []*serving.Config{newKeyedConfig(1, "k1", "k2")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		route, _, err := w.Route("h", "/a/x")
		if err != nil {
			t.Fatal(err)
		}
		public, _, err := w.Route("h", "/public/x")
		if err != nil {
			t.Fatal(err)
		}
		f(d, w, route, public)
	})
}

// requireCaller fails the test unless key belongs to workspace w.
func requireCaller(t *testing.T, w *Watch, route *serving.Route, key string) {
	t.Helper()
	if c, err := w.Authorize(route, newCredential(key)); err != nil || c.Workspace != "w" || c.RankOn(route) != 1 {
		t.Errorf("%s: %+v, %v", key, c, err)
	}
}

// requireError fails the test unless Authorize returns an error of type want.
func requireError(t *testing.T, w *Watch, route *serving.Route, c workspace.Credential, want errs.Type) {
	t.Helper()
	if caller, err := w.Authorize(route, c); !errs.Is(err, want) {
		t.Errorf("%+v, %v, want %s", caller, err, want)
	}
}

func TestKeysAreChecked(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, public *serving.Route) {
		requireCaller(t, w, route, "k1")
		requireCaller(t, w, public, "k2")
		requireError(t, w, route, newCredential("k3"), errs.Unauthenticated)
		requireError(t, w, route, workspace.Credential{}, errs.Unauthenticated)
		requireError(t, w, route, newCredential(""), errs.Unauthenticated)
		requireError(t, w, nil, newCredential("k3"), errs.Unauthenticated)
		if c, err := w.Authorize(nil, workspace.Credential{}); err != nil || !c.IsUnidentified {
			t.Errorf("call about jobs without a key: %+v, %v", c, err)
		}
		for _, c := range []workspace.Credential{{}, newCredential("k3"), newCredential("")} {
			if caller, err := w.Authorize(public, c); err != nil || caller.Workspace != "" {
				t.Errorf("public route: %+v, %v", caller, err)
			}
		}
		if len(d.quotas.workspaces) != 1 {
			t.Errorf("quotas of %v", d.quotas.workspaces)
		}
	})
}

func TestNoKeyIsRequiredWithoutWorkspaces(t *testing.T) {
	d := &fakeDirectory{revokeWithin: 5 * time.Second, configs: []*serving.Config{newConfig(1, "/a/")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(time.Minute)
		route, _, _ := w.Route("h", "/a/")
		if c, err := w.Authorize(route, newCredential("any")); err != nil || c != (serving.Caller{}) {
			t.Errorf("%+v, %v", c, err)
		}
		if w.IsStale() {
			t.Error("stale although no keys are required")
		}
	})
}

// Guards against use of a revoked key: without the store, a key is accepted for the bound and no longer.
func TestKeysAreRejectedWithoutStorePastBound(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, public *serving.Route) {
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(2 * time.Second)
		requireCaller(t, w, route, "k1")
		time.Sleep(time.Second)
		if !w.IsStale() {
			t.Error("not reported as stale after half of the bound")
		}
		time.Sleep(2 * time.Second)
		requireError(t, w, route, newCredential("k1"), errs.ConfigStale)
		requireError(t, w, route, newCredential("k3"), errs.ConfigStale) // a newer version may contain it
		if c, err := w.Authorize(public, newCredential("k1")); err != nil || c.Workspace != "" {
			t.Errorf("public route: %+v, %v", c, err)
		}
		d.update(func(d *fakeDirectory) { d.isDown = false })
		time.Sleep(time.Second)
		requireCaller(t, w, route, "k1")
	})
}

// Guards against use of a revoked key: a host that was suspended must not rely on confirmations from before
// the suspension, although its monotonic clock stood still.
func TestKeysAreRejectedAfterHostSuspension(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, _ *serving.Route) {
		requireCaller(t, w, route, "k1")
		d.suspendedNanos.Add(int64(6 * time.Second))
		requireError(t, w, route, newCredential("k1"), errs.ConfigStale)
	})
}

// Guards against use of a revoked key: answers from an older state of the store confirm nothing.
func TestStaleAnswersDoNotConfirmConfiguration(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, _ *serving.Route) {
		d.update(func(d *fakeDirectory) { d.isStale = true })
		time.Sleep(8 * time.Second)
		requireError(t, w, route, newCredential("k1"), errs.ConfigStale)
	})
}

func TestRevokedKeyIsRejected(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, _ *serving.Route) {
		d.update(func(d *fakeDirectory) { d.configs = append(d.configs, newKeyedConfig(2, "k2")) })
		time.Sleep(2 * time.Second)
		requireError(t, w, route, newCredential("k1"), errs.Unauthenticated)
		requireCaller(t, w, route, "k2")
	})
}

// If only this gateway has lost the store, its caller retries at once, since others can serve it; if all
// have lost it, the caller retries later.
func TestStaleRetryDelayDependsOnPeers(t *testing.T) {
	d := &fakeDirectory{revokeWithin: time.Second, configs: []*serving.Config{newKeyedConfig(1, "k1")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, v *fleetview.View) {
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(3 * time.Second)
		route, _, _ := w.Route("h", "/a/")
		_, errWithoutPeers := w.Authorize(route, newCredential("k1"))
		v.ApplyReport("peer", fleet.Report{})
		_, errWithPeers := w.Authorize(route, newCredential("k1"))
		if a, b := errs.As(errWithoutPeers).RetryAfterMs, errs.As(errWithPeers).RetryAfterMs; a <= 0 || a >= b {
			t.Errorf("retry after %d ms without peers, after %d ms with peers", a, b)
		}
	})
}

// Guards against rejections without a fault: with a short bound, a read that waits for news must end before
// the previous confirmation expires.
func TestShortBoundHoldsWithoutFaults(t *testing.T) {
	d := &fakeDirectory{revokeWithin: 2 * time.Second, configs: []*serving.Config{newKeyedConfig(1, "k1")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		route, _, _ := w.Route("h", "/a/")
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			requireCaller(t, w, route, "k1")
			if w.IsStale() {
				t.Errorf("configuration not confirmed for %v although the store answers", w.Age())
			}
		}
	})
}
