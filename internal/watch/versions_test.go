package watch

import (
	"context"
	"testing"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// testTimeout is the timeout of the route of routeConfig, testSpan how long ago its streams have begun at most.
const (
	testTimeout = 5 * time.Second
	testSpan    = testLinger + resumeTimeouts*testTimeout
)

// versionedTarget is newTarget with a version.
func versionedTarget(id, version string) serving.Target {
	t := newTarget(id)
	t.Version = version
	return t
}

// Guards against a stream of unknown origin that goes on at the only version on the list although it can have begun at
// another one: before the list has been followed for long enough, after a gap, while the store does not answer, when
// another version was on the list for a moment, is on it now or only in the store, or when the route has changed.
func TestOnlyOriginIsToldOnlyIfNoOtherIsPossible(t *testing.T) {
	news := func(targets ...serving.Target) platform.TargetNews {
		return platform.TargetNews{Known: 2, Present: targets}
	}
	v1, v2 := versionedTarget("a", "v1"), versionedTarget("b", "v2")
	ofOther := v2
	ofOther.Service = "other"
	services := func(names ...string) (list []serving.ServiceWeight) {
		for _, name := range names {
			list = append(list, serving.ServiceWeight{Service: name, Weight: 1})
		}
		return list
	}
	for name, c := range map[string]struct {
		before, after time.Duration // time from the first read to the event, and from there to the question
		event         func(d *fakeDirectory)
		isUnread      bool // the event is only in the store when the question is asked
		want          bool
	}{
		"followed for long":             {before: testSpan, want: true},
		"followed for too short a time": {before: testSpan / 2},
		"a peer knows the time before": {before: 5 * time.Second, event: func(d *fakeDirectory) {
			d.peerOrigin, d.peerAge = serving.Origin{Service: "s", Version: "v1"}, time.Second
		}, want: true},
		"the list of the peer is old": {before: 5 * time.Second, event: func(d *fakeDirectory) {
			d.peerOrigin, d.peerAge = serving.Origin{Service: "s", Version: "v1"}, 8*time.Second
		}},
		"a peer knows another version": {before: 5 * time.Second, event: func(d *fakeDirectory) { d.peerOrigin = serving.Origin{Service: "s", Version: "v2"} }},
		"another version came":         {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) { d.targets = append(d.targets, news(v2)) }},
		"another version in the store": {before: 2 * testSpan, isUnread: true, event: func(d *fakeDirectory) { d.targets = append(d.targets, news(v2)) }},
		"another service has another":  {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) { d.targets = append(d.targets, news(ofOther)) }, want: true},
		"another version came and went": {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 3, Replaced: []serving.Target{v2}})
		}},
		"the other went long ago": {before: time.Second, after: testSpan + 5*time.Second, event: func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 3, Replaced: []serving.Target{v2}})
		}, want: true},
		"the list was read whole again": {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) {
			d.targets = append(d.targets, platform.TargetNews{Known: 3, Whole: true, Present: []serving.Target{v1}})
		}},
		"the store does not answer":  {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) { d.isDown = true }},
		"the route leads to two now": {before: 2 * testSpan, after: testSpan + 5*time.Second, event: func(d *fakeDirectory) { d.configs = append(d.configs, routeConfig(2, services("s", "t"))) }},
		"the route has led to another": {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) {
			d.configs = append(d.configs, routeConfig(2, services("other")), routeConfig(3, services("s")))
		}},
		"the route is the same for long": {before: 2 * testSpan, after: time.Second, event: func(d *fakeDirectory) { d.configs = append(d.configs, routeConfig(2, services("s"))) }, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			runWatch(t, func(d *fakeDirectory, w *Watch, _ *fleetview.View) {
				d.update(func(d *fakeDirectory) {
					d.configs = append(d.configs, routeConfig(1, services("s")))
					d.targets = append(d.targets, platform.TargetNews{Known: 1, Whole: true, Present: []serving.Target{v1}})
				})
				time.Sleep(time.Second + c.before)
				if c.event != nil {
					d.update(c.event)
				}
				if !c.isUnread {
					time.Sleep(c.after)
				}
				route, _, err := w.Route("h", "/a/")
				if err != nil {
					t.Fatal(err)
				}
				o, ok := w.OnlyOrigin(context.Background(), route)
				if ok != c.want || ok && o != (serving.Origin{Service: "s", Version: "v1"}) {
					t.Errorf("origin %+v, %v; want v1 of s: %v", o, ok, c.want)
				}
			})
		})
	}
}

// routeConfig returns a configuration with one route to services.
func routeConfig(version uint64, services []serving.ServiceWeight) *serving.Config {
	config := newConfig(version, "/a/")
	config.Routes[0].ServiceWeights = services
	config.Routes[0].Timeout = testTimeout
	return config
}
