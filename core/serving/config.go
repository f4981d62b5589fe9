// Package serving describes what a gateway serves: the operator's configuration with its routes, the requests
// of callers and the targets that serve them. Gateways use it to find the route, the service and the rank of
// a request. It does no I/O.
package serving

import (
	"cmp"
	"hash/fnv"
	"net/url"
	"slices"
	"strings"
	"time"

	"arbutusramp/core/workspace"
)

// Kind is the kind of a route's requests. It says how they are answered and whether they may run again.
type Kind uint8

const (
	// KindUnsafe requests are not idempotent: they run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent: they may run again.
	KindSafe
	// KindStream requests are answered by a stream of events.
	KindStream
	// KindBatch requests submit jobs of many items, which run later.
	KindBatch
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream", "batch"}[k]
}

// ServiceWeight is the weight of one of the services between which the requests of a route are divided. The
// share of the requests that a service gets is its weight divided by the sum of all weights.
type ServiceWeight struct {
	Service string
	Weight  int
}

// MaxRank is the largest rank, that of the least urgent requests.
const MaxRank = 100

// Route describes how requests with one host name and path prefix are served.
type Route struct {
	Name        string
	Host        string // host name in the request, without regard to port and case
	Prefix      string // of the path; begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request may take from its arrival
	LatencyGoal time.Duration // latency goal: an answer that takes longer is late; 0 for none
	// Rank is the urgency of the route's requests among those of the same kind; 0 is the most urgent.
	Rank int
	// Ranks are the different ranks that online requests to the route's services can have, most urgent first.
	// NewRouter sets them.
	Ranks []int
	// EventTimeout is how long a caller waits for the first event of a stream, or for the next one, before it
	// gives up; 0 if it waits until its deadline.
	EventTimeout time.Duration
	MaxAttempts  int // largest number of targets that one request may be sent to
	// IsResumable reports that a stream may continue at another target after the last event that was received.
	IsResumable     bool
	ServiceWeights  []ServiceWeight // services between which requests are divided
	DueWithin       time.Duration   // from the acceptance of a job until its items should be done; for KindBatch
	RetainFor       time.Duration   // from the acceptance of a job until its unfinished items may be given up; for KindBatch
	MaxQueuedTokens int64           // limit of the tokens of unfinished items of each workspace on the route; 0 for none
	IsPublic        bool            // requests need no API key
}

// IsIdempotent reports whether a request of the route may be sent again although it may already have run.
func (r *Route) IsIdempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.IsResumable
}

// maxHigherRanks bounds the result of HigherRanks, because an operator may give each workspace a rank of its
// own.
const maxHigherRanks = 3

// HigherRanks is how many of Ranks are more urgent than rank, at most maxHigherRanks.
func (r *Route) HigherRanks(rank int) int {
	n, _ := slices.BinarySearch(r.Ranks, rank)
	return min(n, maxHigherRanks)
}

// Service picks one of the route's services by weight, and the same one for the same key. It is empty if the
// route has none.
func (r *Route) Service(key string) string {
	if len(r.ServiceWeights) == 0 {
		return ""
	}
	total := 0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	if total <= 0 {
		return r.ServiceWeights[0].Service
	}
	n := int(hashKey(key) % uint64(total))
	for _, s := range r.ServiceWeights {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.ServiceWeights[0].Service
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.ServiceWeights, func(s ServiceWeight) bool {
		return s.Service == service && (s.Weight > 0 || len(r.ServiceWeights) == 1)
	})
}

// hashKey returns a hash of the key by which a service is picked.
func hashKey(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash never fails to write
	return h.Sum64()
}

// Limits bound what callers may send, and how long they may take for it.
type Limits struct {
	MaxHeadBytes int64         // largest head of a request, and of what the headers of an item have in a head
	MaxBodyBytes int64         // largest body of a request
	HeadTime     time.Duration // longest time from the first byte of a head to its last one
	IdleTime     time.Duration // longest time that a connection stays open without a request
}

// DefaultLimits are the limits in force until the operator sets others.
var DefaultLimits = Limits{MaxHeadBytes: 64 << 10, MaxBodyBytes: 16 << 20, HeadTime: 10 * time.Second, IdleTime: 90 * time.Second}

// OrDefault returns l with the defaults in place of values that are not set.
func (l Limits) OrDefault() Limits {
	return Limits{
		MaxHeadBytes: cmp.Or(l.MaxHeadBytes, DefaultLimits.MaxHeadBytes), MaxBodyBytes: cmp.Or(l.MaxBodyBytes, DefaultLimits.MaxBodyBytes),
		HeadTime: cmp.Or(l.HeadTime, DefaultLimits.HeadTime), IdleTime: cmp.Or(l.IdleTime, DefaultLimits.IdleTime),
	}
}

// Config is one version of the operator's configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
	// KeysRequired is set if requests need the API key of a workspace, except those on public routes.
	KeysRequired bool
	Workspaces   []workspace.Workspace
	// Problems say which parts of the configuration cannot be used and why. The other parts apply.
	Problems []error
}

// Router finds routes by host and path.
type Router struct {
	byHost map[string][]*Route // by host name without port, in lower case; longest prefix first
}

// NewRouter returns a router for the routes of c and sets their Ranks.
func NewRouter(c *Config) *Router {
	r := &Router{byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := hostName(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	fillRanks(c)
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// fillRanks sets the Ranks of the routes of c. The ranks of batch routes are left out, because batch items
// yield to online requests by preemption.
func fillRanks(c *Config) {
	ranksOfWorkspaces, isEachRanked := workspaceRanks(c)
	byService := make(map[string][]int)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind == KindBatch {
			continue
		}
		for _, s := range route.ServiceWeights {
			ranks := append(byService[s.Service], ranksOfWorkspaces...)
			if !isEachRanked || route.IsPublic {
				ranks = append(ranks, route.Rank)
			}
			slices.Sort(ranks)
			byService[s.Service] = slices.Compact(ranks)
		}
	}
	for i := range c.Routes {
		var ranks []int
		for _, s := range c.Routes[i].ServiceWeights {
			ranks = append(ranks, byService[s.Service]...)
		}
		slices.Sort(ranks)
		c.Routes[i].Ranks = slices.Compact(ranks)
	}
}

// workspaceRanks returns the different ranks of workspaces in ascending order. isEachRanked is true if keys
// are required and each workspace has a rank, so that no request uses the rank of its route, except on public
// routes.
func workspaceRanks(c *Config) (ranks []int, isEachRanked bool) {
	isEachRanked = c.KeysRequired
	for _, w := range c.Workspaces {
		if w.Rank == nil {
			isEachRanked = false
			continue
		}
		ranks = append(ranks, *w.Rank)
	}
	slices.Sort(ranks)
	return slices.Compact(ranks), isEachRanked
}

// Match returns the route of a request: the one with the longest prefix of its path among those of its host;
// nil if there is none. uri is the path with its query, as in the request line.
func (r *Router) Match(host, uri string) *Route {
	path, _, _ := strings.Cut(uri, "?")
	for _, route := range r.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostName returns the host name in a Host header: without the port and in lower case.
func hostName(host string) string {
	u := url.URL{Host: host}
	return strings.ToLower(u.Hostname())
}
