package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/origin"
	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
)

const (
	// freshReadTimeout bounds the read by which OnlyOrigin makes sure that it knows the newest targets.
	freshReadTimeout = 300 * time.Millisecond
	// resumeTimeouts is after how many timeouts of its route a stream is not resumed any more.
	resumeTimeouts = 2
)

// OriginPeers asks other gateways about versions.
type OriginPeers interface {
	// AskOnly returns the origin of all streams on a route that can still be resumed, as another gateway knows it, and how
	// old its list of targets is at most; ok is false if none knows it.
	AskOnly(ctx context.Context, route origin.RouteID) (o serving.Origin, age time.Duration, ok bool)
}

// versions holds which versions of services have been on the target list, and to which services routes have led.
type versions struct {
	mu          sync.Mutex
	linger      time.Duration
	history     *origin.History
	known       uint64    // offset up to which history is complete; 0 while the list is not read as a whole
	confirmedAt time.Time // when the store last answered a read of the list
	routes      map[origin.RouteID]routeServices
}

// routeServices are the services of a route, and since when it has led to them.
type routeServices struct {
	services []string
	since    time.Time
	span     time.Duration // how long ago streams on the route have begun at most that are still resumed
}

func newVersions(linger time.Duration) *versions {
	return &versions{linger: linger, history: origin.NewHistory(), routes: make(map[origin.RouteID]routeServices)}
}

// noteTargets records a read of the target list, which now holds listed.
func (v *versions) noteTargets(now time.Time, news platform.TargetNews, listed []serving.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if news.Whole {
		v.history.Restart(now)
	}
	v.known, v.confirmedAt = news.Known, now
	v.history.Observe(now, slices.Concat(listed, news.Present, news.Replaced))
}

// noteRoutes records the routes of a configuration that is put in force.
func (v *versions) noteRoutes(now time.Time, routes []serving.Route) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[origin.RouteID]routeServices, len(routes))
	for i := range routes {
		id, services := routeID(&routes[i]), servicesOf(&routes[i])
		old, ok := v.routes[id]
		if !ok || !slices.Equal(old.services, services) {
			old = routeServices{services: services, since: now}
		}
		old.span = max(old.span, resumeTimeouts*routes[i].Timeout+v.linger)
		next[id] = old
	}
	v.routes = next
}

func routeID(r *serving.Route) origin.RouteID { return origin.RouteID{Host: r.Host, Prefix: r.Prefix} }

func servicesOf(r *serving.Route) []string {
	var services []string
	for _, s := range r.ServiceWeights {
		services = append(services, s.Service)
	}
	return services
}

// knowledge is what this process knows of the only origin of a route.
type knowledge struct {
	origin serving.Origin
	since  time.Time     // from when on it is known to be the only one
	span   time.Duration // for how long it must have been
	known  uint64        // offset up to which the target list is known
	age    time.Duration // since the store last confirmed the list
}

// isComplete reports whether since lies far enough back.
func (k knowledge) isComplete(now time.Time) bool { return now.Sub(k.since) >= k.span }

// only returns what this process knows; ok is false if there can be several origins.
func (v *versions) only(now time.Time, id origin.RouteID) (k knowledge, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, isKnown := v.routes[id]
	if !isKnown || len(r.services) != 1 || v.known == 0 {
		return knowledge{}, false
	}
	o, since, ok := v.history.Only(now, r.services[0], r.span)
	if r.since.After(since) {
		since = r.since
	}
	return knowledge{origin: o, since: since, span: r.span, known: v.known, age: now.Sub(v.confirmedAt)}, ok
}

// LocalOnly returns the origin of all streams on a route that can still be resumed, and how long ago the store last
// confirmed the target list; ok is false if there can be several, or if this process has not run for long enough.
func (w *Watch) LocalOnly(route origin.RouteID) (o serving.Origin, age time.Duration, ok bool) {
	now := time.Now()
	k, ok := w.versions.only(now, route)
	return k.origin, k.age, ok && k.isComplete(now)
}

// OnlyOrigin returns what all streams on a route have begun at that can still be resumed: if the route has led to one
// service, and targets of one version only have been on the list, for as long as such streams may be old. ok is false if
// that is not so or not known. A process that has not run for that long asks peers for the time before its start. The
// list is read again in any case, because another gateway may have used a target that this one has not heard of.
func (w *Watch) OnlyOrigin(ctx context.Context, route *serving.Route) (o serving.Origin, ok bool) {
	now := time.Now()
	k, ok := w.versions.only(now, routeID(route))
	if !ok || !k.isComplete(now) && !w.isOnlyAtPeer(ctx, route, k) || !w.isOnlyInStore(ctx, k) {
		return serving.Origin{}, false
	}
	return k.origin, true
}

// isOnlyAtPeer reports whether a peer knows the same only origin for the time before this process knows it.
func (w *Watch) isOnlyAtPeer(ctx context.Context, route *serving.Route, k knowledge) bool {
	if w.peers == nil {
		return false
	}
	o, age, ok := w.peers.AskOnly(ctx, routeID(route))
	return ok && o == k.origin && !time.Now().Add(-age).Before(k.since)
}

// isOnlyInStore reports whether the target list in the store has no other version of the service than this process knows.
func (w *Watch) isOnlyInStore(ctx context.Context, k knowledge) bool {
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout)
	defer cancel()
	targets, err := w.directory.NewTargets(ctx, k.known)
	if err != nil {
		w.log.Warn("targets not read before a stream is resumed", "service", k.origin.Service, "error", err)
		return false
	}
	return !slices.ContainsFunc(targets, func(t serving.Target) bool {
		return t.Service == k.origin.Service && t.Version != k.origin.Version
	})
}
