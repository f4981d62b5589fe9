package entry

import (
	"context"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/structs"
)

// SendFunc sends a frame over one session; it does not block. Error: *errs.Error, once the
// session has closed. It is an alias, so that the parts behind the ports need not import
// this package.
type SendFunc = func(*structs.Frame) error

// BatchPort takes the session frames that concern batch items. Its methods
// are called from a session's reader and must not block.
type BatchPort interface {
	// OnPull says that a side has room.
	OnPull(side structs.HostID, send SendFunc, p *structs.Pull)
	// OnItemDone is the outcome of one item.
	OnItemDone(side structs.HostID, send SendFunc, d *structs.ItemDone)
	// SideOpened says that a session to side is up.
	SideOpened(side structs.HostID, send SendFunc)
	// SideClosed says that it is gone.
	SideClosed(side structs.HostID)
}

// ConfigPort gives sides the configuration over their sessions. Its methods must not block.
type ConfigPort interface {
	// OnConfig is a side's question for configuration.
	OnConfig(side structs.HostID, send SendFunc, m *structs.ConfigMsg)
	// SideOpened says that a session to side is up.
	SideOpened(side structs.HostID, send SendFunc)
	// SideClosed says that it is gone.
	SideClosed(side structs.HostID)
}

// OrderPort takes what sides answer to orders. Its methods must not block.
type OrderPort interface {
	// OnOrderDone is a target's answer to an Order frame.
	OnOrderDone(side structs.HostID, d *structs.OrderDone)
	// OnFenceAsk is the question of a side that has started for the newest fencing number.
	OnFenceAsk(side structs.HostID, send SendFunc)
	// SideOpened says that a session to side is up, with what stands behind it.
	SideOpened(side structs.HostID, targets []structs.TargetInfo, send SendFunc)
	// SideLoad is a target's newest report.
	SideLoad(side structs.HostID, l *structs.Load)
	// SideClosed says that the session is gone.
	SideClosed(side structs.HostID)
}

// Parts are the other parts of an entry process that share its listeners and
// sessions. Each may be nil.
type Parts struct {
	Batch  BatchPort
	Config ConfigPort
	Orders OrderPort
	// Jobs serves the job paths (/v1/files..., /v1/batches...) of callers whose
	// key is valid; CallerOf tells who asks.
	Jobs fasthttp.RequestHandler
	// Admin serves the administration listener.
	Admin fasthttp.RequestHandler
	// Peers serves the listener for other entries and followers.
	Peers func(net.Listener) io.Closer
	// Ready holds what must be true besides the entry's own state before
	// /readyz says so.
	Ready []func() bool
	// Run holds what works beside the listeners until the entry has stopped. The first error stops it.
	Run []func(context.Context) error
	// Drain holds what a planned stop waits for besides requests in flight, up to the drain
	// timeout: owned job shards are handed over while sessions and listeners still work.
	Drain []func(context.Context)
	// SeeAll says that this entry needs a session to every side, whatever max_sides says.
	SeeAll func() bool
	// ConfigFresh says that the configuration is at most dedup.DefaultPropagation old.
	// While it says no, keyed non-idempotent calls are refused: their home may have
	// moved without this entry knowing. nil counts as yes.
	ConfigFresh func() bool
}

// Caller is who sent a request.
type Caller struct {
	Workspace structs.WorkspaceID
	Request   structs.RequestID
}

type callerKey struct{}

// CallerOf returns the caller of a request that was handed to Parts.Jobs.
func CallerOf(ctx *fasthttp.RequestCtx) (Caller, bool) {
	c, ok := ctx.UserValue(callerKey{}).(Caller)
	return c, ok
}
