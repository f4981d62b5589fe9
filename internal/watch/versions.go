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

// freshReadTimeout bounds the read by which OnlyOrigin makes sure that it knows the newest targets.
const freshReadTimeout = 300 * time.Millisecond

// versions holds which versions of services have been on the target list, and to which services routes have led.
type versions struct {
	mu      sync.Mutex
	keep    time.Duration
	history *origin.History
	known   uint64 // offset up to which history is complete; 0 while the list is not read as a whole
	routes  map[routeKey]routeServices
}

// routeKey identifies a route over configurations.
type routeKey struct{ host, prefix string }

// routeServices are the services of a route, and since when it has led to them.
type routeServices struct {
	services []string
	since    time.Time
}

func newVersions(keep time.Duration) *versions {
	return &versions{keep: keep, history: origin.NewHistory(keep), routes: make(map[routeKey]routeServices)}
}

// noteTargets records a read of the target list, which now holds listed.
func (v *versions) noteTargets(now time.Time, news platform.TargetNews, listed []serving.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if news.Whole {
		v.history.Restart(now)
	}
	v.known = news.Known
	v.history.Observe(now, slices.Concat(listed, news.Present, news.Replaced))
}

// noteRoutes records the routes of a configuration that is put in force.
func (v *versions) noteRoutes(now time.Time, routes []serving.Route) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := make(map[routeKey]routeServices, len(routes))
	for i := range routes {
		key, services := keyOf(&routes[i]), servicesOf(&routes[i])
		old, ok := v.routes[key]
		if !ok || !slices.Equal(old.services, services) {
			old = routeServices{services: services, since: now}
		}
		next[key] = old
	}
	v.routes = next
}

func keyOf(r *serving.Route) routeKey { return routeKey{host: r.Host, prefix: r.Prefix} }

func servicesOf(r *serving.Route) []string {
	var services []string
	for _, s := range r.ServiceWeights {
		services = append(services, s.Service)
	}
	return services
}

// only returns the origin of all streams that can have begun on a route, with the offset up to which the target list is
// known; ok is false if there can be several.
func (v *versions) only(now time.Time, route *serving.Route) (o serving.Origin, known uint64, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, isKnown := v.routes[keyOf(route)]
	if !isKnown || len(r.services) != 1 || now.Sub(r.since) < v.keep || v.known == 0 {
		return serving.Origin{}, 0, false
	}
	o, ok = v.history.Only(now, r.services[0])
	return o, v.known, ok
}

// OnlyOrigin returns what all streams on a route have begun at that can still be resumed: if the route has led to one
// service, and targets of one version only have been on the list, for Options.SingleVersionAfter. ok is false if that
// is not so or not known: this process has run for a shorter time, or the store does not answer. The list is read again
// in any case, because another gateway may have used a target that this one has not heard of.
func (w *Watch) OnlyOrigin(ctx context.Context, route *serving.Route) (o serving.Origin, ok bool) {
	o, known, ok := w.versions.only(time.Now(), route)
	if !ok {
		return serving.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout)
	defer cancel()
	targets, err := w.directory.NewTargets(ctx, known)
	if err != nil {
		w.log.Warn("targets not read before a stream is resumed", "service", o.Service, "error", err)
		return serving.Origin{}, false
	}
	for _, t := range targets {
		if t.Service == o.Service && t.Version != o.Version {
			return serving.Origin{}, false
		}
	}
	return o, true
}
