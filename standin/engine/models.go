package engine

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	maxOrders      = 4096 // orders that are remembered for stats
	loadRetryPause = 200 * time.Millisecond
	downloadBuffer = 32 << 10 // bytes
)

// models is what the engine has loaded. list and versions are replaced, never changed, since
// reports share them. The server's lock guards it.
type models struct {
	fence    structs.Epoch
	role     string
	list     []structs.ModelID
	versions map[structs.ModelID]string
	loading  map[structs.ModelID]*loading
	orders   []platform.Order
	refused  int // orders with an old fencing number
}

// loading is one load that is under way.
type loading struct {
	version string
	cancel  context.CancelFunc
}

func (m *models) reset(ids []structs.ModelID) {
	for _, l := range m.loading {
		l.cancel()
	}
	m.fence = 0
	m.role = ""
	m.loading = map[structs.ModelID]*loading{}
	versions := map[structs.ModelID]string{}
	for _, id := range ids {
		versions[id] = ""
	}
	m.replace(versions)
}

func (m *models) replace(versions map[structs.ModelID]string) {
	m.versions = versions
	m.list = make([]structs.ModelID, 0, len(versions))
	for id := range versions {
		m.list = append(m.list, id)
	}
	slices.Sort(m.list)
}

func (m *models) has(id structs.ModelID) bool {
	_, ok := m.versions[id]
	return ok
}

func (m *models) set(id structs.ModelID, version string) {
	versions := maps.Clone(m.versions)
	versions[id] = version
	m.replace(versions)
}

// unload drops a model, with its adapters, or one adapter.
func (m *models) unload(id structs.ModelID) {
	versions := maps.Clone(m.versions)
	maps.DeleteFunc(versions, func(have structs.ModelID, _ string) bool {
		return have == id || strings.HasPrefix(string(have), string(id)+":")
	})
	if l, ok := m.loading[id]; ok {
		l.cancel()
		delete(m.loading, id)
	}
	m.replace(versions)
}

// orderName is the name under which callers ask for what the order is about.
func orderName(o platform.Order) structs.ModelID {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + ":" + structs.ModelID(o.Adapter)
}

func (s *Server) serveOrder(ctx *fasthttp.RequestCtx) {
	var o platform.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, string(errs.BadRequest), "broken JSON")
		return
	}
	switch err := s.order(o); {
	case errs.Is(err, errs.StaleFence):
		refuse(ctx, fasthttp.StatusConflict, string(errs.StaleFence), errs.As(err).Detail)
	case err != nil:
		refuse(ctx, fasthttp.StatusBadRequest, string(errs.BadRequest), errs.As(err).Detail)
	default:
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	}
}

// order starts to carry out o. Errors: errs.StaleFence, errs.BadRequest.
func (s *Server) order(o platform.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.models
	if s.opts.ChecksFence && o.Fence < m.fence {
		m.refused++
		return errs.Newf(errs.StaleFence, "fence %d is older than %d", o.Fence, m.fence)
	}
	if o.Op != platform.OpRole && o.Model == "" {
		return errs.New(errs.BadRequest, "model is missing")
	}
	switch o.Op {
	case platform.OpLoad:
		s.startLoadLocked(o)
	case platform.OpUnload:
		m.unload(orderName(o))
	case platform.OpRole:
		m.role = o.Role
	default:
		return errs.Newf(errs.BadRequest, "op %q is unknown", o.Op)
	}
	m.fence = max(m.fence, o.Fence)
	if len(m.orders) < maxOrders {
		m.orders = append(m.orders, o)
	}
	s.reportLocked(time.Now())
	return nil
}

// startLoadLocked loads in the background. The same load asked for again changes nothing.
func (s *Server) startLoadLocked(o platform.Order) {
	name := orderName(o)
	if v, ok := s.models.versions[name]; ok && v == o.Version {
		return
	}
	if l, ok := s.models.loading[name]; ok {
		if l.version == o.Version {
			return
		}
		l.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &loading{version: o.Version, cancel: cancel}
	s.models.loading[name] = l
	s.loops.Add(1)
	go s.load(ctx, name, l)
}

func (s *Server) load(ctx context.Context, name structs.ModelID, l *loading) {
	defer s.loops.Done()
	defer l.cancel()
	if !s.fetch(ctx, name, l.version) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models.loading[name] != l {
		return
	}
	delete(s.models.loading, name)
	s.models.set(name, l.version)
	s.reportLocked(time.Now())
}

// fetch gets the weights, or waits for LoadTime without a weight store. It returns false when ctx ended.
func (s *Server) fetch(ctx context.Context, name structs.ModelID, version string) bool {
	if s.opts.WeightsURL == "" {
		return sleep.For(ctx, s.opts.LoadTime)
	}
	target := s.opts.WeightsURL + "/models/" + url.PathEscape(string(name)) + "?version=" + url.QueryEscape(version)
	for ctx.Err() == nil {
		if download(ctx, target) {
			return true
		}
		sleep.For(ctx, loadRetryPause)
	}
	return false
}

// download reads all of target and reports whether it got it whole.
func download(ctx context.Context, target string) bool {
	client := &fasthttp.Client{StreamResponseBody: true}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(target)
	req.SetConnectionClose()
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return false
	}
	defer func() { _ = resp.CloseBodyStream() }()
	buf := make([]byte, downloadBuffer)
	for ctx.Err() == nil {
		if _, err := resp.BodyStream().Read(buf); err != nil {
			return err == io.EOF
		}
	}
	return false
}
