package inbound

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/limit"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/logging"
)

// Shares of the host's memory and descriptors. What the process needs for itself, garbage that is not collected yet and the
// buffers of sockets have the rest of the memory.
const (
	// connectionShare is the share of the host's memory for connections without their requests, requestShare that for requests.
	connectionShare = 0.16
	requestShare    = 0.3
	// reserveShare is the share of the memory for requests that only those of up to smallBytes use.
	reserveShare = 0.25
	// workspaceShare is the share of it that the bodies of one workspace's requests use at most, answerShare that of large
	// answers of targets.
	workspaceShare = 0.5
	answerShare    = 0.5
	// fileDescriptors are kept for files, and ownDescriptorShare of the others for connections of the process's own, to
	// targets, peers and the store.
	fileDescriptors    = 200
	ownDescriptorShare = 0.25
	// operatorShare is the share of the connections that clients of the system leave to operators, peers and readiness checks.
	operatorShare = 0.1
)

const (
	// smallBytes is up to how much a request holds, in bytes, to be served from the reserve. Requests with a head of usual size
	// and a prompt of some thousand words hold less.
	smallBytes = 64 << 10
	// reliefWait is how long a request waits for memory that ended clients give back, reliefPoll how often it looks.
	reliefWait = 250 * time.Millisecond
	reliefPoll = 10 * time.Millisecond
	// stillTime is how long a client must have kept the process waiting until it may be ended.
	stillTime = time.Second
	// fullRetryAfter is the time to come back that rejected clients get.
	fullRetryAfter = time.Second
	// minEndedBytes is how much a client must hold to be ended for its memory.
	minEndedBytes = 32 << 10
	// pressureShare is the share of the connections from which on those that keep the process waiting are ended, so that new ones
	// find room, and endedShare the share of them that are ended at once.
	pressureShare = 0.875
	endedShare    = 0.05
	// scanInterval is the time between two looks at all connections.
	scanInterval = 5 * time.Millisecond
)

// Account divides the memory and the descriptors of a process between its clients. It is safe for concurrent use.
type Account struct {
	requests    *limit.Memory // heads and bodies, and what is decoded from them or held of answers
	answers     *limit.Memory // part of requests
	connections *limit.Memory // in number
	log         *logging.Routine
	reg         metrics.Registry

	mu         sync.Mutex // guards all below
	listeners  []*Listener
	workspaces map[string]*workspacePart // by name, of those that hold something
	scannedAt  time.Time                 // last look at all connections
}

// workspacePart is what the bodies of one workspace's requests hold.
type workspacePart struct {
	memory *limit.Memory
	users  int // requests that use it
}

// NewAccount returns the account of a process on a host.
func NewAccount(h Host, log hclog.Logger, reg metrics.Registry) *Account {
	share := func(share float64) int64 { return int64(share * float64(h.MemoryBytes)) }
	requests := limit.NewMemoryWithReserve(share(requestShare), share(requestShare*reserveShare))
	descriptors := int64((1 - ownDescriptorShare) * float64(h.Descriptors-fileDescriptors))
	a := &Account{
		requests: requests, answers: requests.Part(share(requestShare * answerShare)),
		connections: limit.NewMemory(max(1, min(descriptors, share(connectionShare)/connectionBytes))),
		log:         logging.NewRoutine(log), reg: reg, workspaces: make(map[string]*workspacePart),
	}
	for name, m := range map[string]*limit.Memory{"request_bytes": a.requests, "answer_bytes": a.answers, "connections": a.connections} {
		reg.GetOrRegister("inbound."+name, metrics.NewFunctionalGauge(m.Held))
	}
	return a
}

// MaxClients returns how many connections the clients of the system may have together.
func (a *Account) MaxClients() int {
	return max(1, int((1-operatorShare)*float64(a.connections.Max())))
}

// Answers returns the memory for large answers of targets, which is part of the account.
func (a *Account) Answers() *limit.Memory { return a.answers }

// workspace returns the memory for bodies of a workspace. done must be called once nothing of it is held any more.
func (a *Account) workspace(name string) (m *limit.Memory, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	part, ok := a.workspaces[name]
	if !ok {
		part = &workspacePart{memory: a.requests.Part(int64(workspaceShare * float64(a.requests.Max())))}
		a.workspaces[name] = part
	}
	part.users++
	return part.memory, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if part.users--; part.users == 0 {
			delete(a.workspaces, name)
		}
	}
}

// take takes n bytes of m for a holder that has held bytes, and ends clients that keep the process waiting if there are too few.
// Errors: errs.ProcessFull if there are too few all the same, errs.BodyTooLarge if there never are enough.
func (a *Account) take(ctx context.Context, m *limit.Memory, held, n int64) error {
	isSmall := held+n <= smallBytes
	if takeFrom(m, n, isSmall) {
		return nil
	}
	if held+n > m.Max() {
		return errs.Newf(errs.BodyTooLarge, "the request takes %d bytes of memory, this process has %d for one", held+n, m.Max())
	}
	var only *limit.Memory
	if a.requests.Held()+n <= a.requests.Max() {
		only = m // a part of its own is used up
	}
	for until := time.Now().Add(reliefWait); a.relieve(n, only) && time.Now().Before(until); {
		if !sleep.For(ctx, reliefPoll) {
			break
		}
		if takeFrom(m, n, isSmall) {
			return nil
		}
	}
	return errProcessFull("memory")
}

// takeFrom takes n bytes of m, of its reserve as well if the holder is small, and reports true if they were free.
func takeFrom(m *limit.Memory, n int64, isSmall bool) bool {
	if isSmall {
		return m.TakeReserved(n)
	}
	return m.Take(n)
}

// errProcessFull returns the error for a client for which there is too little of something.
func errProcessFull(what string) error {
	return errs.Newf(errs.ProcessFull, "the process has no %s left for this request, which has not run", what).WithRetry(fullRetryAfter)
}

// relieve ends clients that have kept the process waiting for stillTime, those first that hold most for longest, until they
// hold n bytes together; of those whose bodies are held in only, unless it is nil. It reports true if there are such clients, also if
// they have been ended before and hold something still.
func (a *Account) relieve(n int64, only *limit.Memory) bool {
	if !a.mayScan() {
		return true // the last look was a moment ago
	}
	list := listWaiting(a.all(), func(w waiting) bool { return w.held >= minEndedBytes && (only == nil || w.memory == only) })
	slices.SortFunc(list, func(x, y waiting) int { return cmp.Compare(y.cost(), x.cost()) })
	var sum int64
	for _, w := range list {
		if sum >= n {
			break
		}
		w.conn.end(w)
		sum += w.held
	}
	return len(list) > 0
}

// makeRoom ends those of the listeners' connections that have kept the process waiting for longest, if any have for stillTime, once
// there are nearly as many open as there may be.
func (a *Account) makeRoom(open, most int, listeners []*Listener) {
	if float64(open) < pressureShare*float64(most) || !a.mayScan() {
		return
	}
	list := listWaiting(listeners, func(waiting) bool { return true })
	slices.SortFunc(list, func(x, y waiting) int { return cmp.Compare(y.time, x.time) })
	for _, w := range list[:min(len(list), 1+int(endedShare*float64(most)))] {
		w.conn.end(w)
	}
}

// all returns the listeners of the account.
func (a *Account) all() []*Listener {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listeners
}

// mayScan reports whether the last look at all connections was scanInterval ago, and if so counts one now.
func (a *Account) mayScan() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.Sub(a.scannedAt) < scanInterval {
		return false
	}
	a.scannedAt = now
	return true
}

// listWaiting returns the clients of listeners that have kept the process waiting for stillTime and that isWanted admits.
func listWaiting(listeners []*Listener, isWanted func(waiting) bool) (list []waiting) {
	now := time.Now()
	for _, l := range listeners {
		for _, c := range l.list() {
			if w := c.waiting(now); w.time >= stillTime && isWanted(w) {
				list = append(list, w)
			}
		}
	}
	return list
}
