// Package entry is the process that callers talk to. A request passes through
// filters with one typed input and output each: accept (who asks), classify (what for), limits
// (may they now), route (which target), call (attempts, retries, resumes), relay
// (the answer) and record. Decisions are those of core/choose and
// core/limit; this package does the I/O around them.
package entry

import (
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
	// Policy names the policy for choosing targets; empty for choose.DefaultPolicy.
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
	keys    keyring
	limits  *limits
	budget  retryBudget
	pool    *pool
	rec     *recorder

	inFlight atomic.Int64
	draining atomic.Bool
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
		o.Policy = choose.DefaultPolicy
	}
	policy, err := choose.New(o.Policy)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		set: o.Settings, log: o.Logger, metrics: o.Metrics, now: o.Clock,
		config: o.Config, parts: o.Parts, policy: policy,
		keys:     keyring{source: o.Config},
		limits:   newLimits(),
		budget:   retryBudget{budget: limit.Budget{Share: o.Settings.RetryShare}},
		rec:      newRecorder(o.Metrics, o.Logger, o.Clock),
		idPrefix: string(o.Settings.Host.ID) + "-" + strconv.FormatInt(o.Clock().UnixNano(), 36) + "-",
	}
	dial := o.dial
	if dial == nil {
		dial = sessionDialer(e)
	}
	e.pool = newPool(o.Settings, o.Hosts, dial, &e.parts, o.Logger, o.Clock)
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

// Join adds the other parts of the process; it is called before Run. The parts of Options
// are made before the listeners are bound, those that have to know an address after.
func (e *Entry) Join(parts Parts) { e.parts = parts }

func (e *Entry) newID() structs.RequestID {
	return structs.RequestID(e.idPrefix + strconv.FormatUint(e.ids.Add(1), 36))
}

func (e *Entry) listen() error {
	var err error
	if e.callers, err = listenTLS(e.set.CallerAddr, e.set.CallerCert, e.set.CallerKey); err != nil {
		return err
	}
	if e.admin, err = listenTLS(e.set.AdminAddr, e.set.AdminCert, e.set.AdminKey); err != nil {
		return err
	}
	if e.peers, err = listen(e.set.PeerAddr); err != nil {
		return err
	}
	e.statuses, err = listen(e.set.StatusAddr)
	return err
}

func listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errs.Newf(errs.BadSettings, "listen on %q: %v", addr, err)
	}
	return ln, nil
}

// listenTLS serves plain TCP when no certificate is named.
func listenTLS(addr, cert, key string) (net.Listener, error) {
	ln, err := listen(addr)
	if err != nil || cert == "" {
		return ln, err
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		ln.Close()
		return nil, errs.Newf(errs.BadSettings, "certificate %s: %v", cert, err)
	}
	return tls.NewListener(ln, &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
	}), nil
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
