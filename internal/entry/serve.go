package entry

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/problem"
)

// serve handles one request of a caller.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	e.rec.requests.Inc(1)
	if e.draining.Load() {
		ctx.SetConnectionClose()
	}
	if e.handle(ctx) {
		return
	}
	e.inFlight.Add(-1)
}

// handle reports true if a call was made that gives back the request's place itself.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) bool {
	var a accepted
	if err := e.accept(ctx, &a); err != nil {
		e.refuse(ctx, &a, err)
		return false
	}
	path := ctx.Path()
	switch {
	case string(path) == pathChat:
		return e.handleGenerate(ctx, &a, pathChat)
	case string(path) == pathCompletions:
		return e.handleGenerate(ctx, &a, pathCompletions)
	case bytes.HasPrefix(path, []byte(pathService)):
		return e.handleService(ctx, &a)
	case string(path) == pathModels:
		e.listModels(ctx)
	case e.parts.Jobs != nil && isJobPath(path):
		ctx.SetUserValue(callerKey{}, Caller{Workspace: a.workspace, Request: a.id})
		e.parts.Jobs(ctx)
	default:
		e.refuse(ctx, &a, errs.New(errs.NotFound, "no such path"))
	}
	return false
}

func isJobPath(path []byte) bool {
	return bytes.HasPrefix(path, []byte("/v1/batches")) || bytes.HasPrefix(path, []byte("/v1/files"))
}

func (e *Entry) refuse(ctx *fasthttp.RequestCtx, a *accepted, err *errs.Error) {
	e.rec.failed(a.id, err)
	discardBody(ctx)
	problem.Write(ctx, err)
}

func (e *Entry) handleGenerate(ctx *fasthttp.RequestCtx, a *accepted, path string) bool {
	var c classified
	if err := e.classifyGenerate(ctx, path, &c); err != nil {
		e.refuse(ctx, a, err)
		return false
	}
	if c.generate.Stream {
		return e.dispatch(ctx, a, &c, relayEvents)
	}
	return e.dispatch(ctx, a, &c, relayJoined)
}

func (e *Entry) handleService(ctx *fasthttp.RequestCtx, a *accepted) bool {
	var c classified
	if err := e.classifyService(ctx, &c); err != nil {
		e.refuse(ctx, a, err)
		return false
	}
	return e.dispatch(ctx, a, &c, relayService)
}

// relayFunc answers the caller from a call. On an error nothing was answered yet.
type relayFunc func(*fasthttp.RequestCtx, *call) *errs.Error

// dispatch runs a call through limits, choice and its first attempt, and relays the answer.
func (e *Entry) dispatch(ctx *fasthttp.RequestCtx, a *accepted, req *classified, relay relayFunc) bool {
	c, err := e.newCall(a, req)
	if err != nil {
		e.refuse(ctx, a, err)
		return false
	}
	if err = relay(ctx, c); err != nil {
		problem.Write(ctx, err)
		c.close(err)
		return true
	}
	if !ctx.Response.IsBodyStream() {
		c.close(nil)
	}
	return true
}

// newCall admits the request and sends its first attempt.
func (e *Entry) newCall(a *accepted, req *classified) (*call, *errs.Error) {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	c := &call{e: e, in: *a, req: *req, content: contentOf(a, req), group: e.group(req)}
	timeout := req.timeout
	if a.timeout > 0 {
		timeout = a.timeout
	}
	c.deadline = a.start.Add(timeout)
	c.look(s, a.start)
	outstanding, capacity := s.room()
	if err := e.admit(a, outstanding, capacity); err != nil {
		return nil, err
	}
	if err := c.begin(s); err != nil {
		e.limits.end(a.workspace)
		c.stopTimer()
		return nil, c.giveUp(err)
	}
	return c, nil
}

func (e *Entry) admit(a *accepted, outstanding, capacity int) *errs.Error {
	w, ok := e.config.Current().Workspaces[a.workspace]
	if !ok {
		return errs.New(errs.Forbidden, "the workspace was removed")
	}
	w.ID = a.workspace
	return e.limits.begin(a.start, &w, outstanding, capacity)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     structs.ModelID `json:"id"`
	Object string          `json:"object"`
	// Targets is how many targets have the model loaded, as this entry sees it.
	Targets int `json:"targets"`
}

func (e *Entry) listModels(ctx *fasthttp.RequestCtx) {
	served := e.pool.index.Load().models
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range e.modelIDs() {
		m := modelEntry{ID: id, Object: "model"}
		if g := served[id]; g != nil {
			m.Targets = len(g.targets)
		}
		list.Data = append(list.Data, m)
	}
	// A modelList holds nothing that can't be marshalled.
	body, _ := json.Marshal(list)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(body)
}

// modelIDs are the models that callers can ask for, sorted.
func (e *Entry) modelIDs() []structs.ModelID {
	var ids []structs.ModelID
	configured := e.config.Current().Models
	for id, m := range configured {
		if !m.Retired {
			ids = append(ids, id)
		}
	}
	for id := range e.pool.index.Load().models {
		if _, ok := configured[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
