package slopes

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/standin/hostlist"

	"github.com/rcrowley/go-metrics"
)

const (
	rigKey     = "slopes-workspace-key"
	rigService = structs.ServiceID("echo")
	rigDrain   = 100 * time.Millisecond
	rigTimeout = 20 * time.Second
	rigPoll    = 10 * time.Millisecond
)

// running is a process's shell at work in this process.
type running struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func run(p interface{ Run(context.Context) error }) *running {
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = p.Run(ctx) // a drain that was cut short is what a measurement ends with
	}()
	return r
}

func (r *running) stop() {
	r.cancel()
	<-r.done
}

// entryRig is a real entry before thin sides.
type entryRig struct {
	entry *entry.Entry
	proc  *running
	hosts *hostlist.Server
	sides []*thinSide
}

// startEntryRig starts an entry and n thin sides of engines or of one plain service,
// and waits for the sessions.
func startEntryRig(ctx context.Context, n int, kind structs.TargetKind, answer bool) (*entryRig, error) {
	r := &entryRig{}
	if err := r.start(ctx, n, kind, answer); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

func targetInfo(i int, kind structs.TargetKind) structs.TargetInfo {
	info := structs.TargetInfo{ID: structs.TargetID("target-" + strconv.Itoa(i)), Kind: kind}
	if kind == structs.KindService {
		info.Service = rigService
		return info
	}
	info.Models = []structs.ModelID{modelID(0)}
	return info
}

func (r *entryRig) start(ctx context.Context, n int, kind structs.TargetKind, answer bool) error {
	var hosts []platform.Host
	for i := range n {
		t, err := startThinSide(targetInfo(i, kind), answer)
		if err != nil {
			return err
		}
		r.sides = append(r.sides, t)
		hosts = append(hosts, platform.Host{
			ID: structs.HostID("side-of-" + t.info.ID), Role: platform.RoleSide, Addr: t.addr(),
			Domain: domainID(0), State: platform.HostLive,
		})
	}
	return r.startEntry(ctx, hosts, n)
}

// startEntry starts the entry before hosts and waits for sessions sessions.
func (r *entryRig) startEntry(ctx context.Context, hosts []platform.Host, sessions int) error {
	var err error
	if r.hosts, err = hostlist.Start(loopback, hostlist.Options{Hosts: hosts}); err != nil {
		return err
	}
	config, err := rigConfig()
	if err != nil {
		return err
	}
	s := settings.DefaultEntry()
	s.DrainTimeout = rigDrain
	// The cost of reading the host list is a slope of its own.
	s.HostListEvery = time.Minute
	// Decisions are written as in operation, to nowhere.
	logger := logging.New("entry", settings.Logs{Level: "info", JSON: true}, io.Discard)
	r.entry, err = entry.New(entry.Options{
		Settings: s, Logger: logger, Metrics: metrics.NewRegistry(),
		Hosts: hosthttp.New(r.hosts.URL()), Config: confstate.Static(config),
	})
	if err != nil {
		return err
	}
	r.proc = run(r.entry)
	return await(ctx, func() bool {
		n := 0
		for _, t := range r.sides {
			n += t.sessions()
		}
		return n >= sessions
	})
}

// rigConfig is a workspace without limits that may start jobs, a model and a service.
func rigConfig() (*confstate.State, error) {
	return confstate.Empty().Preview([]structs.Intent{
		{Workspace: &structs.WorkspaceIntent{ID: "slopes", KeyHashes: []string{settings.KeySum(rigKey)}}},
		{Model: &structs.ModelIntent{ID: modelID(0)}},
		{Service: &structs.ServiceIntent{ID: rigService}},
		{Grant: &structs.GrantIntent{Workspace: "slopes", MaxItems: 1e6, Models: []structs.ModelID{modelID(0)}}},
	}, 1)
}

func (r *entryRig) stop() {
	for _, t := range r.sides {
		t.close()
	}
	if r.proc != nil {
		r.proc.stop()
	}
	if r.hosts != nil {
		r.hosts.Close()
	}
}

// sideRig is a real side before a target.
type sideRig struct {
	side *side.Side
	proc *running
}

func startSideRig(info structs.TargetInfo, url string) (*sideRig, error) {
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID("side-of-" + info.ID)
	s.Target = info
	s.TargetURL = url
	s.DrainTimeout = rigDrain
	s.TargetBudget = time.Hour // thin targets are silent for long
	logger := logging.New("side", settings.Logs{Level: "info", JSON: true}, io.Discard)
	p, err := node.NewSide(s, logger, metrics.NewRegistry())
	if err != nil {
		return nil, err
	}
	return &sideRig{side: p, proc: run(p)}, nil
}

func (r *sideRig) stop() { r.proc.stop() }

// await polls until done. Error: errs.DeadlineExceeded.
func await(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, rigTimeout)
	defer cancel()
	tick := time.NewTicker(rigPoll)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errs.Newf(errs.DeadlineExceeded, "a measurement was not set up within %s", rigTimeout)
		case <-tick.C:
		}
	}
	return nil
}

// caller is one connection of a caller that writes prepared requests: the least that a
// caller can cost.
type caller struct {
	conn net.Conn
	buf  []byte
}

func dialCaller(addr string) (*caller, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, errs.Newf(errs.SessionLost, "dial: %v", err)
	}
	return &caller{conn: c}, nil
}

// httpPost returns the bytes of a request.
func httpPost(path string, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("POST " + path + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + rigKey +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

// write sends a prepared request.
func (c *caller) write(request []byte) error {
	if _, err := c.conn.Write(request); err != nil {
		return errs.Newf(errs.SessionLost, "write: %v", err)
	}
	return nil
}

var statusOK = []byte("HTTP/1.1 200")

// buffer is made at the first read: connections that only wait should cost next to nothing.
func (c *caller) buffer() []byte {
	const readSize = 32 << 10
	if c.buf == nil {
		c.buf = make([]byte, readSize)
	}
	return c.buf
}

// answer reads one small answer, which comes with one read.
func (c *caller) answer() error {
	n, err := c.conn.Read(c.buffer())
	if err != nil {
		return errs.Newf(errs.SessionLost, "read: %v", err)
	}
	if !bytes.HasPrefix(c.buf[:n], statusOK) {
		return errs.Newf(errs.TargetRefused, "answer: %.300s", c.buf[:n])
	}
	return nil
}

// discard reads until the connection ends.
func (c *caller) discard() {
	for {
		if _, err := c.conn.Read(c.buffer()); err != nil {
			return
		}
	}
}

func (c *caller) close() { c.conn.Close() }
