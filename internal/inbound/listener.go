package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

const (
	// connectionBytes is what a connection takes while it has no request: a goroutine, buffers and the state of the
	// server, and what the kernel holds for it, in bytes.
	connectionBytes = 32 << 10
	// maxRejections bounds the connections that are rejected with an answer at the same time. Others are closed at once.
	maxRejections = 32
)

// Options configures a Listener. All fields but MaxConnections are required.
type Options struct {
	Name    string // of the listener, in logs and metrics
	Account *Account
	// Limits returns the limits in force for clients of the listener.
	Limits func() serving.Limits
	// MaxConnections bounds the connections of the listener; 0 leaves that to the account.
	MaxConnections int
	Log            hclog.Logger // of the HTTP server
}

// Listener is a listener whose connections take from an Account. It tracks its open connections and can close idle ones without
// losing a request. The shutdown of the HTTP server can't: to it, a connection is idle until the head of a request has been
// read, so that it may close one while a request arrives. A Listener is safe for concurrent use.
type Listener struct {
	net.Listener
	o          Options
	rejections chan struct{} // one value for each connection that is being rejected

	mu   sync.Mutex
	open map[*Conn]bool // the keys are the open connections
}

// Listen listens on a TCP address. The connections that it accepts have small receive buffers, as a process that has little memory
// can afford them; see usualReceiveBuffer.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections work with a buffer of any size.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, usualReceiveBuffer)
		})
	}}
	return config.Listen(ctx, "tcp", addr)
}

// NewListener returns a listener for the connections that inner accepts.
func NewListener(inner net.Listener, o Options) *Listener {
	l := &Listener{Listener: inner, o: o, rejections: make(chan struct{}, maxRejections), open: make(map[*Conn]bool)}
	o.Account.mu.Lock()
	defer o.Account.mu.Unlock()
	o.Account.listeners = append(o.Account.listeners, l)
	return l
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

// NewServer returns an HTTP server for h that must serve this listener only.
func (l *Listener) NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: l.account(h),
		// The connection bounds the head by the limits in force, which may change; this bound is for what it lets through.
		MaxHeaderBytes: maxHeadBytes,
		ConnState: func(inner net.Conn, state http.ConnState) {
			if c, ok := inner.(*Conn); ok && state == http.StateIdle {
				c.becomeIdle()
			}
		},
		ConnContext: func(ctx context.Context, inner net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, inner)
		},
		ErrorLog: l.o.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// account wraps h so that requests hold what they have taken until h returns.
func (l *Listener) account(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		defer c.finishRequest()
		if err := c.beginRequest(r); err != nil {
			l.note(c, "request rejected", err, "phase", phaseRequest.String())
			writeRejection(w, errs.As(err))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Accept implements net.Listener. A connection for which there is no room is rejected.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.reject(inner)
	}
}

// admit returns the connection if there is room for it, else nil.
func (l *Listener) admit(inner net.Conn) *Conn {
	a := l.o.Account
	a.makeRoom(int(a.connections.Held()), int(a.connections.Max()), a.all())
	if most := l.o.MaxConnections; most > 0 {
		a.makeRoom(l.count(), most, []*Listener{l})
		if l.count() >= most {
			return nil
		}
	}
	if !a.connections.Take(1) {
		return nil
	}
	c := &Conn{Conn: inner, listener: l, requests: a.requests}
	c.enterFirst()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c
}

// reject answers a connection for which there is no room, without reading a request, and closes it.
func (l *Listener) reject(inner net.Conn) {
	err := errProcessFull("connections")
	l.note(inner, "connection rejected", err)
	select {
	case l.rejections <- struct{}{}:
		go func() {
			defer func() { <-l.rejections }()
			rejectConn(inner, err)
		}()
	default:
		_ = inner.Close() // the client sees that its request was not answered
	}
}

// note logs and counts that a client was rejected or ended because of err.
func (l *Listener) note(conn net.Conn, event string, err error, args ...any) {
	a := l.o.Account
	outcome := string(errs.As(err).Type)
	metrics.GetOrRegisterCounter("inbound."+l.o.Name+"."+outcome, a.reg).Inc(1)
	client, _, splitErr := net.SplitHostPort(conn.RemoteAddr().String())
	if splitErr != nil {
		client = conn.RemoteAddr().String() // not a TCP connection
	}
	a.log.Info(time.Now(), event, append([]any{
		"listener", l.o.Name, "client", client, "outcome", outcome, "error", err.Error(),
		"request_bytes", a.requests.Held(), "max_request_bytes", a.requests.Max(), "connections", a.connections.Held(), "max_connections", a.connections.Max(),
	}, args...)...)
}

// count returns the number of open connections.
func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// CloseIdle closes the connections that are not busy.
func (l *Listener) CloseIdle() {
	for _, c := range l.list() {
		c.closeIfIdle()
	}
}

// CountBusy returns the number of connections with a request, from its first byte to the end of its answer.
func (l *Listener) CountBusy() int {
	n := 0
	for _, c := range l.list() {
		if c.isBusy() {
			n++
		}
	}
	return n
}

// CheckBodies rejects the requests whose bodies are being read although they can't be served any more; see BodyLimits.Check.
func (l *Listener) CheckBodies() {
	for _, c := range l.list() {
		if check := c.bodyCheck(); check != nil {
			if err := check(); err != nil {
				c.endRead(errs.As(err))
			}
		}
	}
}

// EndReads rejects the requests whose heads or bodies are being read, with err.
func (l *Listener) EndReads(err *errs.Error) {
	for _, c := range l.list() {
		c.endRead(err)
	}
}

// list returns the open connections.
func (l *Listener) list() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}
