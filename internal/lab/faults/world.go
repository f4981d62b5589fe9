package faults

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/internal/batch"
	"arbutusramp/internal/client"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/logsvc"
	"arbutusramp/test/cluster"
)

// The shape of the system that is run.
const (
	domains, entries, engines, services = 3, 3, 3, 2

	shardCount     = 6
	commitEvery    = 50 * time.Millisecond
	itemTimeout    = 4 * time.Second
	itemAttempts   = 3
	targetBudget   = time.Second // after which a target that gives no byte counts as hanging
	drainTimeout   = 3 * time.Second
	onceGrace      = 5 * time.Second
	serviceLatency = 20 * time.Millisecond
	hostListLag    = time.Second
	serveTimeout   = 60 * time.Second // until a system that has just started serves
)

// world is the running system with all that is known about it from outside.
type world struct {
	*cluster.Cluster
	o     Options
	links *cluster.Links
	hist  *history
	check *invariant.Checker

	mu   sync.Mutex
	urls []string // of the entries that callers try
}

func newWorld(o Options, broken jobs.Broken) (*world, error) {
	w := &world{o: o, links: cluster.NewLinks(), hist: newHistory()}
	w.check = invariant.NewChecker(func(v invariant.Violation) {
		w.hist.violation("invariant_"+string(v.Name), v.Detail)
	})
	var err error
	w.Cluster, err = cluster.Start(cluster.Options{
		Domains: domains, Entries: entries, Engines: engines, Services: services,
		ServiceLatency: serviceLatency,
		HostListLag:    hostListLag,
		EntrySettings:  w.entrySettings,
		SideSettings:   sideSettings,
		Variant: node.EntryOverrides{
			Checker: w.check, DisabledGuards: broken, Tuning: batch.Tuning{OnceGrace: onceGrace},
		},
		Started: w.hist.started,
		Called:  w.hist.called,
		Log:     logsvc.Options{RetainFor: o.Retention, Appended: w.hist.appended},
		Network: w.links,
		Logger:  o.Logger,
		Seed:    o.Seed,
	})
	if err != nil {
		w.links.Close()
		return nil, err
	}
	return w, w.refreshURLs()
}

func (w *world) entrySettings(s *settings.Entry) {
	s.Shards = shardCount
	s.CommitEvery = commitEvery
	s.ResultsFor = w.o.Promise
	s.LogRetention = w.o.Retention
	s.ItemAttempts = itemAttempts
	s.ItemTimeout = itemTimeout
	s.DrainTimeout = drainTimeout
}

func sideSettings(s *settings.Side) {
	s.DrainTimeout = drainTimeout
	s.TargetBudget = targetBudget
}

func (w *world) close() {
	w.links.Close()
	_ = w.Close() // a process that was killed ends with the error of its sockets
}

// refreshURLs notes where callers reach the entries that there are now.
func (w *world) refreshURLs() error {
	var urls []string
	for _, p := range w.Entries {
		url, err := p.URL()
		if err != nil {
			return err
		}
		urls = append(urls, url)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.urls = urls
	return nil
}

// entryURL returns the address of one entry, which may be down; pick chooses it.
func (w *world) entryURL(pick int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.urls[pick%len(w.urls)]
}

func (w *world) client(pick int) *client.Client {
	return client.New(w.entryURL(pick), cluster.WorkspaceKey)
}

// serving waits until every process serves. Error: errs.DeadlineExceeded.
func (w *world) serving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	return w.Await(ctx)
}
