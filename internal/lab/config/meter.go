package config

import (
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// meter counts the bytes of one node's sockets, in and out.
type meter struct{ bytes atomic.Int64 }

// conn counts what goes through a connection.
type conn struct {
	net.Conn
	m *meter
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.bytes.Add(int64(n))
	return n, err
}

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	m *meter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.m}, nil
}

func (m *meter) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return conn{c, m}, nil
}

// tap passes connections to the log service on and counts their bytes for one node: the
// log's adapter makes its connections itself.
type tap struct {
	ln    net.Listener
	to    string
	m     *meter
	mu    sync.Mutex
	open  map[net.Conn]struct{}
	ended bool
}

func newTap(to string, m *meter) (*tap, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	t := &tap{ln: ln, to: to, m: m, open: make(map[net.Conn]struct{})}
	go t.accept()
	return t, nil
}

func (t *tap) url() string { return "http://" + t.ln.Addr().String() }

func (t *tap) accept() {
	for {
		in, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.pass(in)
	}
}

func (t *tap) pass(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", t.to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	if !t.keep(in) {
		return
	}
	defer t.drop(in)
	done := make(chan struct{})
	go func() {
		defer close(done)
		io.Copy(out, conn{in, t.m}) // ends with either connection
		out.Close()
	}()
	io.Copy(conn{in, t.m}, out)
	in.Close()
	<-done
}

func (t *tap) keep(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.open[c] = struct{}{}
	}
	return !t.ended
}

func (t *tap) drop(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

func (t *tap) close() {
	t.ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for c := range t.open {
		c.Close()
	}
}

// cpuTime is the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse is the heap that is reachable now, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
