package cluster

import (
	"time"

	"arbutusramp/core/structs"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/logsvc"
	"github.com/hashicorp/go-hclog"
)

// What every cluster serves.
const (
	Model        = structs.ModelID("drafting")
	Service      = structs.ServiceID("lookup")
	Workspace    = structs.WorkspaceID("ws")
	WorkspaceKey = "cluster-workspace-key"
)

// Names of the other ends of a Network's connections.
const (
	// Callers stands for all callers.
	Callers = structs.HostID("callers")
	// LogHost is the host of the log service.
	LogHost = structs.HostID("log")
	// ListHost is the host of the host list.
	ListHost = structs.HostID("host-list")
)

// Network carries the connections between hosts, so that a test can break them.
type Network interface {
	// Via returns the address under which from reaches the listener of to at addr.
	Via(from, to structs.HostID, addr string) (string, error)
	// Kill resets every connection of host and lets no new one through.
	Kill(host structs.HostID)
	// Revive lets new connections of host through again.
	Revive(host structs.HostID)
}

// Options of a cluster. Hosts are spread over the failure domains in turn.
type Options struct {
	Domains  int // 1 at least
	Entries  int // 1 at least
	Engines  int
	Services int

	// Engine returns the model of engine i; nil takes fast engines.
	Engine func(i int) engine.Options
	// ServiceLatency is how long each call of a plain service takes.
	ServiceLatency time.Duration
	// HostListLag is the time until a change of the host list is visible.
	HostListLag time.Duration
	// EntrySettings and SideSettings change settings before the process starts; they may be nil.
	EntrySettings func(*settings.Entry)
	SideSettings  func(*settings.Side)
	// Variant changes every entry.
	Variant node.EntryOverrides
	// Started and Called are told what begins at engines and services; they may be nil.
	Started func(request string)
	Called  func(request, method string)
	// Log is the model of the log service.
	Log logsvc.Options
	// Network is nil for plain loopback connections; Kill can't be used then.
	Network Network
	Logger  hclog.Logger // nil logs nothing
	Seed    uint64       // of the stand-ins
}

func (o Options) withDefaults() Options {
	o.Domains = max(1, o.Domains)
	o.Entries = max(1, o.Entries)
	o.Log.Seed = o.Seed
	if o.Engine == nil {
		o.Engine = func(int) engine.Options { return FastEngine() }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// FastEngine is a model engine with short steps, for tests that look at what happens
// and not at how long it takes.
func FastEngine() engine.Options {
	return engine.Options{
		Base:            4 * time.Millisecond,
		PerSeq:          10 * time.Microsecond,
		PerPrefillToken: time.Microsecond,
		MaxRunning:      64,
		LoadLag:         100 * time.Millisecond,
		RestartTime:     200 * time.Millisecond,
	}
}

// hop returns addr as from reaches it.
func (o *Options) hop(from, to structs.HostID, addr string) (string, error) {
	if o.Network == nil {
		return addr, nil
	}
	return o.Network.Via(from, to, addr)
}
