// Package hostlist is a small stand-in of the platform's host list. Changes become
// visible after a lag.
//
// GET /hosts answers the list as JSON. POST /knobs/hosts sets one host from JSON, DELETE
// /knobs/hosts/ID removes one.
package hostlist

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/internal/httpd"
	"arbutusramp/standin/knob"
)

// Options of a host list.
type Options struct {
	Hosts []platform.Host // visible from the start
	Lag   time.Duration   // until a change is visible
	Seed  uint64          // of random choices
}

// Knobs are the faults of a host list.
type Knobs struct {
	knob.Faults
	// LagMs is the time until a change is visible, in milliseconds.
	LagMs int64 `json:"lag_ms"`
}

// Server is one host list.
type Server struct {
	http  *httpd.Server
	knobs *knob.FaultSet[Knobs]

	mu    sync.Mutex
	lists []list // by time; the first is the newest that is visible
}

// list is the host list as it was from a time on; it is replaced, never changed.
type list struct {
	at    time.Time
	hosts []platform.Host // by ID
}

// Start listens at addr and serves until Close. Error: errs.BadSettings.
func Start(addr string, o Options) (*Server, error) {
	s := &Server{http: httpd.New()}
	hosts := slices.Clone(o.Hosts)
	slices.SortFunc(hosts, byID)
	s.lists = []list{{hosts: hosts}}
	faults := func(k Knobs) knob.Faults { return k.Faults }
	knobs := knob.NewSet(Knobs{LagMs: o.Lag.Milliseconds()})
	s.knobs = knob.NewFaultSet(knobs, faults, o.Seed, s.http.Done())
	if err := s.http.Start(addr, s.route()); err != nil {
		return nil, err
	}
	return s, nil
}

func byID(a, b platform.Host) int { return cmp.Compare(a.ID, b.ID) }

func (s *Server) route() fasthttp.RequestHandler {
	hosts := s.knobs.Wrap(s.serveHosts)
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		switch {
		case path == "/knobs":
			s.knobs.Serve(ctx)
		case strings.HasPrefix(path, "/knobs/hosts"):
			s.serveChange(ctx, strings.TrimPrefix(path, "/knobs/hosts"))
		case path == "/hosts":
			hosts(ctx)
		default:
			ctx.Error("no such path", fasthttp.StatusNotFound)
		}
	}
}

// URL returns the base URL.
func (s *Server) URL() string { return s.http.URL() }

// Close ends the host list.
func (s *Server) Close() error { return s.http.Close() }

// Turn changes the faults by f.
func (s *Server) Turn(f func(*Knobs)) { s.knobs.Turn(f) }

// Refuse refuses connections for d.
func (s *Server) Refuse(d time.Duration) { s.http.RefuseFor(d) }

// Set adds or replaces one host.
func (s *Server) Set(h platform.Host) {
	s.change(func(hosts []platform.Host) []platform.Host {
		return append(without(hosts, h.ID), h)
	})
}

// Remove takes one host off the list.
func (s *Server) Remove(id structs.HostID) {
	s.change(func(hosts []platform.Host) []platform.Host { return without(hosts, id) })
}

func without(hosts []platform.Host, id structs.HostID) []platform.Host {
	return slices.DeleteFunc(hosts, func(h platform.Host) bool { return h.ID == id })
}

func (s *Server) change(f func([]platform.Host) []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.lists[len(s.lists)-1]
	hosts := f(slices.Clone(newest.hosts))
	slices.SortFunc(hosts, byID)
	now := time.Now()
	s.lists = append(s.lists, list{now, hosts})
	s.visibleLocked(now)
}

// Hosts returns the list as it is visible now.
func (s *Server) Hosts() []platform.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visibleLocked(time.Now())
}

func (s *Server) visibleLocked(now time.Time) []platform.Host {
	lag := time.Duration(s.knobs.Get().LagMs) * time.Millisecond
	for len(s.lists) > 1 && !s.lists[1].at.After(now.Add(-lag)) {
		s.lists = s.lists[1:]
	}
	return s.lists[0].hosts
}

func (s *Server) serveHosts(ctx *fasthttp.RequestCtx) {
	hosts := s.Hosts()
	if hosts == nil {
		hosts = []platform.Host{}
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, body)
}

// serveChange sets a host, or removes the one that rest names.
func (s *Server) serveChange(ctx *fasthttp.RequestCtx, rest string) {
	if ctx.IsDelete() {
		s.Remove(structs.HostID(strings.TrimPrefix(rest, "/")))
		return
	}
	var h platform.Host
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.ID == "" {
		ctx.Error("not a host with an id", fasthttp.StatusBadRequest)
		return
	}
	s.Set(h)
}
