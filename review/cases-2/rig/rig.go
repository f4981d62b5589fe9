//go:build review

// Package rig starts gateways as separate processes against stand-ins of the store, the runners and the callers, for
// the cases of the review. It records what was sent, answered and run.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/review/stand"
	"arbutusramp/standin/keyedlog"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

const (
	// parts, leaseMillis, graceSeconds, keepSeconds and Heartbeat are those of the site kelpie-callback.
	parts        = 8
	leaseMillis  = 1000
	graceSeconds = 8
	keepSeconds  = 120
	Heartbeat    = 1200 * time.Millisecond

	callBytes = 2 << 20 // most that the records of one append may have
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct{ *stand.Record }

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	r, err := stand.NewRecord(path)
	return &Record{r}, err
}

// Add writes a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) { r.Addf(format, args...) }

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// System is a small deployment: a store, runners and gateways.
type System struct {
	View     *keyedlog.View // of the store, for the operator and the runners
	Record   *Record
	Gateways []*Gateway
	Runners  []*Runner

	dir       string
	store     *httptest.Server
	storeAddr string
	servers   []*http.Server
	stop      context.CancelFunc
	ctx       context.Context
}

// systems are those that have been started.
var systems struct {
	sync.Mutex
	list []*System
}

// closeAll closes all systems.
func closeAll() {
	systems.Lock()
	defer systems.Unlock()
	for _, s := range systems.list {
		s.Close()
	}
}

// NewSystem starts a store.
func NewSystem(record *Record) (*System, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	store := stand.NewStore(parts, record.Record)
	inner := store.Serve()
	s := &System{View: store.Log.View(), Record: record, dir: dir, store: inner}
	systems.Lock()
	systems.list = append(systems.list, s)
	systems.Unlock()
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.storeAddr, err = s.serve("127.0.0.1:0", boundCalls(record, inner.Config.Handler))
	return s, err
}

// boundCalls makes the store refuse appends that are larger than a call may be.
func boundCalls(record *Record, store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > callBytes {
			record.Add("the store refuses an append of %d bytes", r.ContentLength)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		store.ServeHTTP(w, r)
	})
}

// serve serves a handler on an address and returns the address.
func (s *System) serve(addr string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// put writes the newest record of a key.
func (s *System) put(topic, key string, value []byte) error {
	_, err := s.View.Append(s.ctx, platform.Append{Partition: platform.Partition{Topic: topic}, Records: []platform.KeyedRecord{{Key: key, Value: value}}})
	return err
}

// PutConfig writes the operator's configuration.
func (s *System) PutConfig(config any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return s.put(names.ConfigTopic, "config", data)
}

// StartRunner starts a runner and registers it.
func (s *System) StartRunner(r *Runner) error {
	r.record = s.Record
	r.free = make(chan struct{}, r.Slots)
	addr, err := s.serve("127.0.0.1:0", r)
	if err != nil {
		return err
	}
	r.addr = addr
	s.Runners = append(s.Runners, r)
	if err := s.register(r, 1); err != nil {
		return err
	}
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(Heartbeat):
			}
			_ = s.register(r, seq) // the store of the case never fails
		}
	}()
	return nil
}

// register writes the entry of a runner.
func (s *System) register(r *Runner, seq int) error {
	entry, err := json.Marshal(map[string]any{
		"service": r.Service, "addr": r.addr, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": "ready", "cold_left_ms": 0, "seq": seq,
	})
	if err != nil {
		return err
	}
	return s.put(names.ServersTopic, r.ID, entry)
}

// Gateway is a gateway process.
type Gateway struct {
	Name    string
	Callers string // address for callers
	Ready   string // address of the readiness check

	settings string
	log      string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// freeAddrs returns n free addresses of a loopback IP that nothing else uses. Outgoing connections come from 127.0.0.1,
// so that none of them can take a port of a gateway while it is restarted.
func freeAddrs(n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.N(64), rand.N(256), 1+rand.N(254))
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// AddGateway writes the settings of a gateway in a zone and starts it. The settings are those that deploy/gateway.ini
// gives for the site kelpie-callback, with loopback addresses.
func (s *System) AddGateway(name, zone string) (*Gateway, error) {
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Callers: addrs[0], Ready: addrs[1], settings: filepath.Join(s.dir, name+".ini"), log: filepath.Join(s.dir, name+".log")}
	text := fmt.Sprintf(`[host]
role = gateway
id = %s
domain = %s
cpu_share = 0.8
cores = 1
[log]
level = info
json = true
[listen]
callers = %s
ready = %s
peers = %s
metrics = %s
[store]
address = %s
partitions = %d
shortest_lease = %dms
[backlog]
keep = %ds
[stop]
grace = %ds
[platform]
contracts = base,drain,config,cost,recover,batch,stream,engine,platform
`, name, zone, addrs[0], addrs[1], addrs[2], addrs[3], s.storeAddr, parts, leaseMillis, keepSeconds, graceSeconds)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("target/arbutusramp", "gateway", "-config-from", "ARBUTUSRAMP_NODE_FILE")
	g.cmd.Env = append(os.Environ(), "ARBUTUSRAMP_NODE_FILE="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := g.cmd, make(chan struct{})
	g.ended = ended
	go func() {
		_ = cmd.Wait() // how it ended is seen in HasEnded and the log
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(sig syscall.Signal) { _ = g.cmd.Process.Signal(sig) } // it may have ended

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	<-g.ended
}

// HasEnded reports whether the process has ended.
func (g *Gateway) HasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// logTail returns the end of the process's log, or the error of reading it.
func (g *Gateway) logTail() string {
	const maxTailBytes = 2 << 10
	log, err := os.ReadFile(g.log)
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-maxTailBytes):])
}

// AwaitReady waits until all gateways are ready.
func (s *System) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := http.Client{Timeout: time.Second}
	for _, g := range s.Gateways {
		for {
			resp, err := client.Get("http://" + g.Ready + names.ReadyPath)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready after %v, has ended %v: %s", g.Name, timeout, g.HasEnded(), g.logTail())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and stand-ins. With KEEP_LOGS set, the logs of the gateways stay.
func (s *System) Close() {
	for _, g := range s.Gateways {
		if g.cmd != nil && g.ended != nil {
			g.Kill()
		}
	}
	s.stop()
	for _, server := range s.servers {
		server.Close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

// IsTroubled reports whether the case is to run with its disruption.
func IsTroubled() bool { return os.Getenv("TROUBLE") != "0" }
