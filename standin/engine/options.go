// Package engine is a small stand-in of a model engine. It models continuous
// batching: all running sequences advance by one token a step, a step takes
//
//	Base + PerSeq*running + PerPrefillToken*(prefill tokens done in the step)
//
// prefill is chunked, a bounded number of sequences runs, and the others wait
// in arrival order without priorities. Prompt prefixes are cached in limited
// memory. A cancelled stream holds its place until the next step, resuming pays
// its prefill again unless the KV cache was kept, and load reports and cache events lag.
package engine

import (
	"cmp"
	"time"

	"arbutusramp/core/structs"
)

// BytesPerToken is how many bytes of prompt count as one token.
const BytesPerToken = 4

// tokensPerBlock is how many tokens one block of the prefix cache saves.
const tokensPerBlock = structs.PrefixBlock / BytesPerToken

// Options are the engine's model and limits. Zero fields take the defaults named beside them.
type Options struct {
	Models []structs.ModelID // loaded at the start and after each restart

	Base            time.Duration // of each step; 20 ms
	PerSeq          time.Duration // of each running sequence a step; 500 us
	PerPrefillToken time.Duration // of each prefill token; 50 us
	PrefillChunk    int           // prefill tokens a step at most; 512
	MaxRunning      int           // sequences in the running batch; 32
	MaxTokens       int           // of a request that names none, in tokens; 16

	CacheBlocks int // blocks of structs.PrefixBlock bytes in the prefix cache; 4096
	KeepKV      int // cancelled sequences whose KV cache is kept; 0 keeps none

	LoadLag        time.Duration // age of the load report; 300 ms
	EventLag       time.Duration // delay of cache events; 500 ms
	EventDropShare float64       // share of cache events that are lost, 0..1

	ChecksFence bool          // refuses orders with an older fencing number
	RestartTime time.Duration // time that a crash takes; 2 s
	KVTokenTime time.Duration // of each token of an exported or imported KV cache; 2 us

	// WeightsURL is the weight store's base URL. When it is empty, a load takes LoadTime.
	WeightsURL string
	LoadTime   time.Duration

	Seed uint64 // of random choices

	// Started is told of every sequence that joins the running batch. It must not block; nil
	// is told nothing.
	Started func(request string)
}

const (
	defaultBase            = 20 * time.Millisecond
	defaultPerSeq          = 500 * time.Microsecond
	defaultPerPrefillToken = 50 * time.Microsecond
	defaultPrefillChunk    = 512
	defaultMaxRunning      = 32
	defaultMaxTokens       = 16
	defaultCacheBlocks     = 4096
	defaultLoadLag         = 300 * time.Millisecond
	defaultEventLag        = 500 * time.Millisecond
	defaultRestartTime     = 2 * time.Second
	defaultKVTokenTime     = 2 * time.Microsecond
)

// WithDefaults returns o with its zero fields filled.
func (o Options) WithDefaults() Options {
	o.Base = cmp.Or(o.Base, defaultBase)
	o.PerSeq = cmp.Or(o.PerSeq, defaultPerSeq)
	o.PerPrefillToken = cmp.Or(o.PerPrefillToken, defaultPerPrefillToken)
	o.PrefillChunk = cmp.Or(o.PrefillChunk, defaultPrefillChunk)
	o.MaxRunning = cmp.Or(o.MaxRunning, defaultMaxRunning)
	o.MaxTokens = cmp.Or(o.MaxTokens, defaultMaxTokens)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, defaultCacheBlocks)
	o.LoadLag = cmp.Or(o.LoadLag, defaultLoadLag)
	o.EventLag = cmp.Or(o.EventLag, defaultEventLag)
	o.RestartTime = cmp.Or(o.RestartTime, defaultRestartTime)
	o.KVTokenTime = cmp.Or(o.KVTokenTime, defaultKVTokenTime)
	return o
}

// StepTime returns how long a step takes with that many running sequences and prefill tokens.
func (o Options) StepTime(running, prefillTokens int) time.Duration {
	o = o.WithDefaults()
	return o.Base + time.Duration(running)*o.PerSeq + time.Duration(prefillTokens)*o.PerPrefillToken
}

// MaxTokensPerS returns the tokens a second that the engine generates with a
// constant running batch and no prefill.
func (o Options) MaxTokensPerS(running int) float64 {
	return float64(running) / o.StepTime(running, 0).Seconds()
}

// RequestsPerS returns the requests a second that the engine completes with a
// running batch that is always full, when each has that many uncached prompt
// tokens and generated tokens. The step that does a prompt's last chunk also
// gives its first token.
func (o Options) RequestsPerS(running, promptTokens, maxTokens int) float64 {
	o = o.WithDefaults()
	steps := float64(maxTokens)
	if chunks := (promptTokens + o.PrefillChunk - 1) / o.PrefillChunk; chunks > 1 {
		steps += float64(chunks - 1)
	}
	decode := o.StepTime(running, 0).Seconds() * steps / float64(running)
	prefill := o.PerPrefillToken.Seconds() * float64(promptTokens)
	return 1 / (decode + prefill)
}
