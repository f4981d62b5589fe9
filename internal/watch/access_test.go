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

// newKeyedConfig returns a configuration that requires keys: workspace w holds the given keys, the route of
// path "/a/" needs one of them, and that of "/public/" needs none.
func newKeyedConfig(version uint64, keys ...string) *serving.Config {
	rank := 1
	holder := workspace.Workspace{Name: "w", Rank: &rank}
	for _, key := range keys {
		holder.Keys = append(holder.Keys, workspace.DigestOf(key))
	}
	config := newConfig(version, "/a/", "/public/")
	config.Routes[1].IsPublic = true
	config.KeysRequired = true
	config.Workspaces = []workspace.Workspace{holder}
	return config
}

// newCredential returns the credential of a request with a key in its Authorization header.
func newCredential(key string) workspace.Credential {
	return workspace.ParseAuthorization([]string{"Bearer " + key})
}

// runWatchWithKeys calls f with a running Watch, a route that needs a key, and a public route. Keys "k1" and
// "k2" are valid, and a revoked key must be rejected within 5 s.
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

// requireCaller reports an error unless key is accepted as a key of workspace w.
func requireCaller(t *testing.T, w *Watch, route *serving.Route, key string) {
	t.Helper()
	if caller, err := w.Authorize(route, newCredential(key)); err != nil || caller.Workspace != "w" || caller.RankOn(route) != 1 {
		t.Errorf("request with key %s: caller %+v, error %v, want workspace w with rank 1", key, caller, err)
	}
}

// requireError reports an error unless Authorize returns an error of type want.
func requireError(t *testing.T, w *Watch, route *serving.Route, credential workspace.Credential, want errs.Type) {
	t.Helper()
	if caller, err := w.Authorize(route, credential); !errs.Is(err, want) {
		t.Errorf("Authorize returned caller %+v and error %v, want an error of type %s", caller, err, want)
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
		if caller, err := w.Authorize(nil, workspace.Credential{}); err != nil || !caller.IsUnidentified {
			t.Errorf("call about jobs without a key: caller %+v, error %v, want an unidentified caller", caller, err)
		}
		for _, credential := range []workspace.Credential{{}, newCredential("k3"), newCredential("")} {
			if caller, err := w.Authorize(public, credential); err != nil || caller.Workspace != "" {
				t.Errorf("public route, request without a valid key: caller %+v, error %v, want no workspace", caller, err)
			}
		}
		if len(d.quotas.workspaces) != 1 {
			t.Errorf("quotas were set for workspaces %v, want 1 workspace", d.quotas.workspaces)
		}
	})
}

// A configuration without workspaces requires no keys, so an outage of the store causes no rejections.
func TestNoKeyIsRequiredWithoutWorkspaces(t *testing.T) {
	d := &fakeDirectory{revokeWithin: 5 * time.Second, configs: []*serving.Config{newConfig(1, "/a/")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(time.Minute)
		route, _, _ := w.Route("h", "/a/")
		if caller, err := w.Authorize(route, newCredential("any")); err != nil || caller != (serving.Caller{}) {
			t.Errorf("configuration without workspaces: caller %+v, error %v, want an empty caller", caller, err)
		}
		if w.IsStale() {
			t.Error("IsStale is true although the configuration requires no keys")
		}
	})
}

// Guards against use of a revoked key: while the store is unreachable, a key is accepted until
// RevokeWithin has passed since the last confirmation, and not longer. RevokeWithin is 5 s here.
func TestKeysAreRejectedPastRevokeWithinDuringOutage(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, public *serving.Route) {
		d.update(func(d *fakeDirectory) { d.isDown = true })
		time.Sleep(2 * time.Second)
		requireCaller(t, w, route, "k1")
		time.Sleep(time.Second)
		if !w.IsStale() {
			t.Error("IsStale is false 3 s into an outage, after half of RevokeWithin")
		}
		time.Sleep(2 * time.Second)
		requireError(t, w, route, newCredential("k1"), errs.ConfigStale)
		requireError(t, w, route, newCredential("k3"), errs.ConfigStale) // a newer version may contain this key
		if caller, err := w.Authorize(public, newCredential("k1")); err != nil || caller.Workspace != "" {
			t.Errorf("public route, key that cannot be verified: caller %+v, error %v, want no workspace", caller, err)
		}
		d.update(func(d *fakeDirectory) { d.isDown = false })
		time.Sleep(time.Second)
		requireCaller(t, w, route, "k1")
	})
}

// Guards against use of a revoked key: a process whose host was suspended must not rely on confirmations from
// before the suspension. The monotonic clock does not advance during a suspension.
func TestKeysAreRejectedAfterHostSuspension(t *testing.T) {
	runWatchWithKeys(t, func(d *fakeDirectory, w *Watch, route, _ *serving.Route) {
		requireCaller(t, w, route, "k1")
		d.suspendedNanos.Add(int64(6 * time.Second))
		requireError(t, w, route, newCredential("k1"), errs.ConfigStale)
	})
}

// Guards against use of a revoked key: an answer from an older state of the store does not confirm that the
// configuration is the newest.
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

// If only this gateway has lost the store, its caller retries soon, since other gateways can serve it. If live
// peers show that the fault may affect all gateways, the caller retries later.
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
		if withoutPeers, withPeers := errs.As(errWithoutPeers).RetryAfterMs, errs.As(errWithPeers).RetryAfterMs; withoutPeers <= 0 || withoutPeers >= withPeers {
			t.Errorf("retry after %d ms without peers and %d ms with peers, want the first above 0 and below the second", withoutPeers, withPeers)
		}
	})
}

// Guards against rejections without a fault: with a short RevokeWithin, a read that waits for a change must end
// before the previous confirmation of the configuration expires.
func TestShortRevokeWithinRejectsNothingWithoutFaults(t *testing.T) {
	d := &fakeDirectory{revokeWithin: 2 * time.Second, configs: []*serving.Config{newKeyedConfig(1, "k1")}}
	runWatchWith(t, d, hclog.NewNullLogger(), func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
		time.Sleep(time.Second)
		route, _, _ := w.Route("h", "/a/")
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			requireCaller(t, w, route, "k1")
			if w.IsStale() {
				t.Errorf("IsStale is true, configuration last confirmed %v ago, although the store answers", w.Age())
			}
		}
	})
}
