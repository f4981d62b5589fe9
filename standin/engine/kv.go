package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
)

// kvCache stands for the KV cache of one sequence.
type kvCache struct {
	ID      string `json:"id"`
	Content uint64 `json:"content"`
	Tokens  int    `json:"tokens"` // of prompt and answer
}

// serveExport answers POST /engine/kv/export?id=ID with the KV cache of a running
// or kept sequence.
func (s *Server) serveExport(ctx *fasthttp.RequestCtx) {
	kv, ok := s.findKV(string(ctx.QueryArgs().Peek("id")))
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, string(errs.NotFound), "no KV cache of that request")
		return
	}
	s.transfer(kv)
	writeJSON(ctx, kv)
}

// serveImport takes what serveExport gave, for a later resume.
func (s *Server) serveImport(ctx *fasthttp.RequestCtx) {
	var kv kvCache
	if err := json.Unmarshal(ctx.PostBody(), &kv); err != nil || kv.Tokens <= 0 {
		refuse(ctx, fasthttp.StatusBadRequest, string(errs.BadRequest), "not a KV cache")
		return
	}
	if s.opts.KeepKV == 0 {
		refuse(ctx, fasthttp.StatusConflict, string(errs.Conflict), "no memory to keep KV caches")
		return
	}
	s.transfer(kv)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.kept.put(kv.Content, kv)
}

func (s *Server) findKV(id string) (kvCache, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.batch.running {
		if q.id == id && q.prefill <= 0 {
			return q.kv(), true
		}
	}
	for e := s.batch.kept.order.Front(); e != nil; e = e.Next() {
		if kv := e.Value.(*lruEntry[kvCache]).value; kv.ID == id {
			return kv, true
		}
	}
	return kvCache{}, false
}

// transfer takes the time of moving a KV cache.
func (s *Server) transfer(kv kvCache) {
	sleep.For(context.Background(), time.Duration(kv.Tokens)*s.opts.KVTokenTime)
}

func (s *sequence) kv() kvCache {
	return kvCache{s.id, s.content, s.prompt + int(s.next.Load())}
}
