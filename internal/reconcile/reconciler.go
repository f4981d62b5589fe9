package reconcile

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

const (
	// stepEvery is how often confirmed and actual are compared without news.
	stepEvery = 2 * time.Second
	// settle is how long a new owner watches before it orders anything: its
	// sessions come up one by one, and until then the fleet looks empty.
	settle = 20 * time.Second
	// pauseLimit is the longest time between two steps after which the owner makes
	// sure that it still is the owner. A process that was paused doesn't know it.
	pauseLimit   = 5 * time.Second
	releaseLimit = 2 * time.Second
	errorPause   = time.Second
	learnEvery   = 5 * time.Second
)

// Options are what a Reconciler is made of.
type Options struct {
	Self    settings.Entry
	Log     platform.Log
	Config  confstate.Source
	Members func() []platform.Host
	Fleet   *Fleet
	Logger  hclog.Logger
	Metrics metrics.Registry
	Clock   func() time.Time // nil for time.Now
	// Tuning of the decisions; the zero value takes reconcile.DefaultConfig.
	Tuning reconcile.Config
	// Settle is how long a new owner watches before it orders anything; 0 is 20 s.
	Settle time.Duration
}

// Reconciler keeps true what was confirmed, while its process is the owner.
type Reconciler struct {
	opts  Options
	log   hclog.Logger
	now   func() time.Time
	owner owner

	orders, refused, takeovers metrics.Counter
	owning                     metrics.Gauge

	fences *fences

	mu       sync.Mutex
	machine  *reconcile.Machine // nil unless this process is the owner
	since    time.Time          // when it became the owner
	lastStep time.Time
	mustRead bool // the ownership has to be confirmed before the next order
	// doubts counts the causes for mustRead, so that a read that was begun before the last
	// one does not count as having looked after it.
	doubts uint64
}

// New returns a Reconciler.
func New(o Options) *Reconciler {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Settle == 0 {
		o.Settle = settle
	}
	if o.Tuning == (reconcile.Config{}) {
		o.Tuning = reconcile.DefaultConfig()
	}
	r := &Reconciler{
		opts: o,
		log:  o.Logger,
		now:  o.Clock,
		owner: owner{
			self: platform.Host{
				ID:     o.Self.Host.ID,
				Role:   platform.RoleEntry,
				Domain: o.Self.Host.Domain,
				State:  platform.HostLive,
			},
			log:     o.Log,
			members: o.Members,
			now:     o.Clock,
		},
		orders:    metrics.GetOrRegisterCounter("reconcile.orders", o.Metrics),
		refused:   metrics.GetOrRegisterCounter("reconcile.orders_refused", o.Metrics),
		takeovers: metrics.GetOrRegisterCounter("reconcile.takeovers", o.Metrics),
		owning:    metrics.GetOrRegisterGauge("reconcile.owner", o.Metrics),
	}
	r.fences = newFences(o.Log, r.log, r.Candidate)
	o.Fleet.mu.Lock()
	o.Fleet.fences = r.fences
	o.Fleet.done = r.orderDone
	o.Fleet.gone = r.sideGone
	o.Fleet.mu.Unlock()
	return r
}

// Run reconciles until ctx is done, and then gives the ownership up.
func (r *Reconciler) Run(ctx context.Context) error {
	g, run := errgroup.WithContext(ctx)
	g.Go(func() error {
		r.watchOwner(run)
		return nil
	})
	g.Go(func() error {
		r.stepLoop(run)
		return nil
	})
	g.Go(func() error {
		r.learnLoop(run)
		return nil
	})
	g.Go(func() error {
		r.fences.run(run)
		return nil
	})
	err := g.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer cancel()
	if relErr := r.owner.release(last); relErr != nil {
		r.log.Warn("ownership of the placement not given up", "error", relErr)
	}
	r.setOwner(false)
	return err
}

// watchOwner follows the claims, claims when the place is vacant, and renews.
func (r *Reconciler) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.owner.owns() && !r.owner.candidate() {
			sleep.For(ctx, watchWait)
			continue
		}
		if err := r.watchOnce(ctx); err != nil {
			r.log.Debug("placement stream", "error", err)
			sleep.For(ctx, errorPause)
		}
	}
}

func (r *Reconciler) watchOnce(ctx context.Context) error {
	doubts := r.currentDoubts()
	if err := r.owner.read(ctx, watchWait); err != nil {
		return err
	}
	if r.owner.candidate() && r.owner.vacant() {
		if err := r.owner.claim(ctx); err != nil {
			return err
		}
	}
	r.setOwner(r.owner.owns())
	if !r.owner.owns() {
		return nil
	}
	r.confirmedOwner(doubts)
	return r.owner.renew(ctx)
}

// Candidate says that this entry owns the placement or may have to. It then needs a
// session to every side: an owner that sees a part of the fleet takes the rest for lost.
func (r *Reconciler) Candidate() bool {
	if _, err := r.Owner(); err == nil {
		return true
	}
	return r.owner.candidate()
}

// setOwner starts or ends the ownership.
func (r *Reconciler) setOwner(owns bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch := r.owner.claims.Epoch
	switch {
	case owns && (r.machine == nil || r.machine.Fence() != epoch):
		r.machine = reconcile.New(r.opts.Tuning, epoch)
		r.since = r.now()
		r.lastStep = r.now()
		r.mustRead = false
		r.takeovers.Inc(1)
		r.owning.Update(1)
		r.log.Info("owner of the placement", "epoch", epoch)
	case !owns && r.machine != nil:
		r.machine = nil
		r.owning.Update(0)
		r.log.Info("no longer owner of the placement", "epoch", epoch, "owner", r.owner.claims.Owner)
	}
}

// currentDoubts counts the causes so far for having to confirm the ownership.
func (r *Reconciler) currentDoubts() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubts
}

// confirmedOwner notes that the log has said that this process is the owner, in a read that was
// begun when there had been that many doubts. A process that stood still can find the answer to a
// read from before: another may have claimed since, and the answer would confirm what is no longer so.
func (r *Reconciler) confirmedOwner(doubts uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if doubts == r.doubts {
		r.mustRead = false
	}
}

// doubt makes the ownership have to be confirmed. The caller holds the lock.
func (r *Reconciler) doubt() {
	r.mustRead = true
	r.doubts++
}

func (r *Reconciler) stepLoop(ctx context.Context) {
	next := sleep.NewTimer(stepEvery)
	defer next.Stop()
	for {
		select {
		case <-next.C:
			next.Reset(stepEvery)
		case <-r.opts.Fleet.changed:
		case <-ctx.Done():
			return
		}
		r.step()
	}
}

// step compares once and sends the orders.
func (r *Reconciler) step() {
	s := r.opts.Config.Current()
	fleet := r.opts.Fleet.View(s)
	for _, order := range r.decide(s, fleet) {
		sent := r.opts.Fleet.send(order)
		r.log.Info("order", "target", order.Target, "op", order.Order.Op, "model", order.Order.Model,
			"version", order.Order.Version, "adapter", order.Order.Adapter, "reason", order.Reason,
			"fence", order.Order.Fence, "sent", sent)
		if !sent {
			r.lost(order.Target)
			continue
		}
		r.orders.Inc(1)
	}
}

// learnLoop asks for sizes beside the steps: a weight store that hangs must not
// hold them up.
func (r *Reconciler) learnLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.opts.Fleet.LearnSizes(ctx, r.opts.Config.Current())
		sleep.For(ctx, learnEvery)
	}
}

// decide returns the orders to send now. After a pause there are none until the
// log has confirmed the ownership: another may have claimed meanwhile. Orders
// that slip through all the same carry the old epoch, which the sides refuse; one that has
// just started takes none until it has learnt the newest epoch.
func (r *Reconciler) decide(s *confstate.State, fleet structs.Fleet) []reconcile.Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.machine == nil {
		return nil
	}
	if now.Sub(r.lastStep) > pauseLimit {
		r.doubt()
	}
	r.lastStep = now
	if r.mustRead || now.Sub(r.since) < r.opts.Settle {
		return nil
	}
	return r.machine.Step(now, s, fleet)
}

// orderDone takes a side's answer.
func (r *Reconciler) orderDone(side structs.HostID, d *structs.OrderDone) {
	targets := r.opts.Fleet.targetsOf(side)
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Err != nil {
		r.refused.Inc(1)
		r.log.Warn("order refused", "side", side, "type", d.Err.Type, "detail", d.Err.Detail)
	}
	if r.machine == nil {
		return
	}
	for _, t := range targets {
		if r.machine.Done(r.now(), t, *d) {
			// A newer owner has given orders to this side. Until the log says who
			// it is, this process gives none.
			r.doubt()
		}
	}
}

// sideGone says that the session to a side is lost.
func (r *Reconciler) sideGone(side structs.HostID) {
	state := r.opts.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine == nil {
		return
	}
	for id, t := range state.Targets {
		if t.Host == side {
			r.machine.Lost(id)
		}
	}
}

func (r *Reconciler) lost(t structs.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine != nil {
		r.machine.Lost(t)
	}
}

// Owner returns the epoch under which this process is the owner. Error: errs.NotOwner.
func (r *Reconciler) Owner() (structs.Epoch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine == nil {
		return 0, errs.New(errs.NotOwner, "this entry does not own the placement")
	}
	return r.machine.Fence(), nil
}
