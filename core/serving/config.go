// Package serving holds the types, without I/O, that describe what a gateway serves: the operator's
// configuration with its routes, and the targets that serve them.
package serving

import (
	"hash/fnv"
	"net/url"
	"slices"
	"strings"
	"time"

	"arbutusramp/core/workspace"
)

// Kind is the kind of a route's requests; it decides what may be repeated.
type Kind uint8

const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStream requests are answered by a stream of events.
	KindStream
	// KindBatch accepts whole jobs, whose items run later.
	KindBatch
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream", "batch"}[k]
}

// Share is the weight of a service among those that a route is split over.
type Share struct {
	Service string
	Weight  int
}

// MaxRank is the largest rank: less urgent requests get this one.
const MaxRank = 100

// Route describes how requests under one path of one host are served.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    Kind
	Timeout time.Duration // longest time that a request is kept waiting
	Goal    time.Duration // latency goal: the time within which an answer is worth most
	// Rank is the urgency of the route's requests among those of the same kind; 0 is the most urgent.
	Rank int
	// Ranks are the ranks of online requests to the route's services, most urgent first. NewRouter fills them
	// in.
	Ranks []int
	// Stay is how long a caller waits for the first event of a stream, or for the next one, regardless of its
	// deadline; 0 is as long as its deadline.
	Stay     time.Duration
	Attempts int // most targets that one request may be sent to
	// Resumable streams may continue at another target after their last event.
	Resumable bool
	Shares    []Share
	Due       time.Duration // from the acceptance of a job until its items should be done
	Retain    time.Duration // from the acceptance of a job until an item may be given up
	MaxQueued int64         // tokens of unfinished items that each workspace may have on the route; 0 for no limit
	IsPublic  bool          // requests need no API key
}

// Idempotent reports whether a request may run again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// maxHigherRanks bounds the number of ranks that a request yields to, because an operator may use a rank for
// each workspace.
const maxHigherRanks = 3

// HigherRanks is how many ranks of requests to the route's services are more urgent than rank.
func (r *Route) HigherRanks(rank int) int {
	n, _ := slices.BinarySearch(r.Ranks, rank)
	return min(n, maxHigherRanks)
}

// Service picks one of the route's services by weight. The same key always picks the same service.
func (r *Route) Service(key string) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	n := int(hashKey(key) % uint64(total))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[0].Service
}

func hashKey(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash never fails to write
	return h.Sum64()
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64 // 0 for no limit
}

// Config is one version of the operator's configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
	// KeysRequired reports that requests need the API key of a workspace, except those of public routes.
	KeysRequired bool
	Workspaces   []workspace.Workspace
	// Problems are the parts of the configuration that cannot be used. The rest is in force.
	Problems []error
}

// Router finds routes by host and path.
type Router struct {
	byHost map[string][]*Route // longest prefix first
}

// NewRouter indexes the routes of c.
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

// fillRanks sets Route.Ranks. Batch routes are left out: their requests yield by other means.
func fillRanks(c *Config) {
	ranksOfWorkspaces, isEachRanked := workspaceRanks(c)
	byService := make(map[string][]int)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind == KindBatch {
			continue
		}
		for _, s := range route.Shares {
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
		for _, s := range c.Routes[i].Shares {
			ranks = append(ranks, byService[s.Service]...)
		}
		slices.Sort(ranks)
		c.Routes[i].Ranks = slices.Compact(ranks)
	}
}

// workspaceRanks returns the ranks of workspaces, and whether each workspace has one, so that no request uses
// that of its route.
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

// Match returns the route with the longest prefix of target's path, or nil. target is the path with its
// query, as in the request line.
func (r *Router) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, route := range r.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostName drops the port of a Host header and converts it to lower case.
func hostName(host string) string {
	u := url.URL{Host: host}
	return strings.ToLower(u.Hostname())
}
