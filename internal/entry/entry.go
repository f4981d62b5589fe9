// Package entry is the process that callers talk to. A request passes through
// filters with one typed input and output each: accept (who asks), classify (what for), limits
// (may they now), route (which target), call (attempts, retries, resumes), relay
// (the answer) and record. Decisions are those of core/choose and
// core/limit; this package does the I/O around them.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/choose"
	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/limit"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/inbound"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/settings"
)

// Options are what an entry is made of.
type Options struct {
	Settings settings.Entry
	Logger   hclog.Logger
	Metrics  metrics.Registry
	Log      platform.Log
	Hosts    platform.HostList
	Weights  platform.WeightStore
	Config   confstate.Source
	Clock    func() time.Time // nil for time.Now
	Parts    Parts
	// Keys are the keys and certificates in force; nil takes those of Settings.
	Keys *keyring.Keyring
	// Quarantine is asked before each attempt; nil sends every request on.
	Quarantine Quarantine
	// Policy names the policy for choosing targets; empty takes that of Settings, and
	// without one choose.DefaultPolicy.
	Policy string

	dial dialFunc // nil for sessions over TCP
}

// Entry is one entry process.
type Entry struct {
	set     settings.Entry
	log     hclog.Logger
	metrics metrics.Registry
	now     func() time.Time
	config  confstate.Source
	parts   Parts
	policy  *choose.Policy
	keys    workspaceKeys
	secrets *keyring.Keyring
	limits  *limits
	budget  retryBudget
	pool    *pool
	rec     *recorder
	// quarantine is asked before each attempt.
	quarantine Quarantine
	// account divides the memory and the descriptors of the process between its clients.
	account *inbound.Account

	inFlight atomic.Int64
	draining atomic.Bool
	refused  atomic.Bool // a side has refused the peer key, and none has taken it since
	ids      atomic.Uint64
	idPrefix string

	callers, admin, peers, statuses net.Listener
	callerServer, adminServer       *fasthttp.Server
	statusServer                    *fasthttp.Server
	peerServer                      io.Closer
}

// New binds the listeners of an entry. Errors: errs.BadSettings.
func New(o Options) (*Entry, error) {
	if o.Config == nil {
		return nil, errs.New(errs.BadSettings, "an entry needs a source of configuration")
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Policy == "" {
		o.Policy = cmp.Or(o.Settings.RoutePolicy, choose.DefaultPolicy)
	}
	if o.Keys == nil {
		values, err := keyring.EntryValues(o.Settings)
		if err != nil {
			return nil, err
		}
		o.Keys = keyring.New(values)
	}
	if o.Quarantine == nil {
		o.Quarantine = noQuarantine{}
	}
	policy, err := choose.New(o.Policy)
	if err != nil {
		return nil, err
	}
	host, err := inbound.NewHost(o.Settings.Host.MemoryMB, o.Settings.Host.Descriptors)
	if err != nil {
		return nil, errs.Newf(errs.BadSettings, "%v", err)
	}
	e := &Entry{
		account: inbound.NewAccount(host, o.Logger.Named("inbound"), o.Metrics),
		set:     o.Settings, log: o.Logger, metrics: o.Metrics, now: o.Clock,
		config: o.Config, parts: o.Parts, policy: policy,
		keys:       workspaceKeys{source: o.Config},
		secrets:    o.Keys,
		limits:     newLimits(),
		budget:     retryBudget{budget: limit.Budget{Share: o.Settings.RetryShare}},
		rec:        newRecorder(o.Metrics, o.Logger, o.Clock),
		quarantine: o.Quarantine,
		idPrefix:   string(o.Settings.Host.ID) + "-" + strconv.FormatInt(o.Clock().UnixNano(), 36) + "-",
	}
	dial := o.dial
	if dial == nil {
		dial = sessionDialer(e)
	}
	e.pool = newPool(o.Settings, o.Hosts, dial, &e.parts, o.Logger, o.Clock)
	e.pool.crashes = o.Quarantine
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

// Keys returns the keys and certificates in force, for replacing them without a restart.
func (e *Entry) Keys() *keyring.Keyring { return e.secrets }

// Join adds the other parts of the process; it is called before Run. The parts of Options
// are made before the listeners are bound, those that have to know an address after.
func (e *Entry) Join(parts Parts) { e.parts = parts }

func (e *Entry) newID() structs.RequestID {
	return structs.RequestID(e.idPrefix + strconv.FormatUint(e.ids.Add(1), 36))
}

func (e *Entry) listen() error {
	var err error
	if e.callers, err = e.listenTLS(e.set.CallerAddr, e.secrets.CallerTLS()); err != nil {
		return err
	}
	if e.admin, err = e.listenTLS(e.set.AdminAddr, e.secrets.AdminTLS()); err != nil {
		return err
	}
	if e.peers, err = e.listenOn(e.set.PeerAddr); err != nil {
		return err
	}
	e.statuses, err = e.listenOn(e.set.StatusAddr)
	return err
}

// listenOn listens on a TCP address; the connections count in the account.
func (e *Entry) listenOn(addr string) (net.Listener, error) {
	ln, err := inbound.Listen(context.Background(), addr)
	if err != nil {
		return nil, errs.Newf(errs.BadSettings, "listen on %q: %v", addr, err)
	}
	return e.account.Count(ln), nil
}

// listenTLS serves plain TCP without a config.
func (e *Entry) listenTLS(addr string, config *tls.Config) (net.Listener, error) {
	ln, err := e.listenOn(addr)
	if err != nil || config == nil {
		return ln, err
	}
	return tls.NewListener(ln, config), nil
}

func (e *Entry) closeListeners() {
	for _, ln := range []net.Listener{e.callers, e.admin, e.peers, e.statuses} {
		if ln != nil {
			ln.Close()
		}
	}
}

// CallerAddr is the address of the callers' listener.
func (e *Entry) CallerAddr() string { return e.callers.Addr().String() }

// AdminAddr is the address of the administration listener.
func (e *Entry) AdminAddr() string { return e.admin.Addr().String() }

// PeerAddr is the address of the listener for other entries and followers.
func (e *Entry) PeerAddr() string { return e.peers.Addr().String() }

// StatusAddr is the address of the status listener.
func (e *Entry) StatusAddr() string { return e.statuses.Addr().String() }
