package entry

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathService     = "/svc/"

	maxHashed        = 64 * structs.PrefixBlock // bytes of prompt that affinity looks at
	bytesPerToken    = 4
	defaultMaxTokens = 256
)

// classified is what routing needs to know of a request.
type classified struct {
	generate      *structs.Generate // nil for plain services
	service       structs.ServiceID
	method        string
	path          string
	headers       []structs.Header
	body          []byte
	timeout       time.Duration
	nonIdempotent bool
}

// prompt is the part of a generation request that is parsed.
type prompt struct {
	Model               structs.ModelID `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func (p *prompt) maxTokens() (int, *errs.Error) {
	n := defaultMaxTokens
	if p.MaxTokens != nil {
		n = *p.MaxTokens
	}
	if p.MaxCompletionTokens != nil {
		n = *p.MaxCompletionTokens
	}
	if n <= 0 {
		return 0, errs.New(errs.BadRequest, "max_tokens: allowed is a whole number above 0")
	}
	return n, nil
}

// classifyGenerate reads what is needed of a model request at path. Errors:
// errs.BadRequest, errs.BodyTooLarge, errs.UnknownModel.
func (e *Entry) classifyGenerate(ctx *fasthttp.RequestCtx, path string, c *classified) *errs.Error {
	if !ctx.IsPost() {
		return errs.New(errs.BadRequest, "allowed is POST")
	}
	c.method = fasthttp.MethodPost
	c.path = path
	var err *errs.Error
	if c.body, err = e.readBody(ctx); err != nil {
		return err
	}
	g, err := parseGenerate(c.body, path == pathChat)
	if err != nil {
		return err
	}
	if !e.knowsModel(g.Model) {
		return errs.Newf(errs.UnknownModel, "no model is called %q", g.Model)
	}
	c.generate = g
	c.timeout = e.set.DefaultTimeout
	return nil
}

func parseGenerate(body []byte, chat bool) (*structs.Generate, *errs.Error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, errs.Newf(errs.BadRequest, "the body is not the JSON of a request: %v", err)
	}
	if p.Model == "" {
		return nil, errs.New(errs.BadRequest, "model: missing")
	}
	text, name := p.Prompt, "prompt"
	if chat {
		text, name = p.Messages, "messages"
	}
	if len(text) == 0 || bytes.Equal(text, []byte("null")) {
		return nil, errs.Newf(errs.BadRequest, "%s: missing", name)
	}
	n, err := p.maxTokens()
	if err != nil {
		return nil, err
	}
	return &structs.Generate{
		Model:        p.Model,
		MaxTokens:    n,
		PromptTokens: 1 + len(text)/bytesPerToken,
		Chat:         chat,
		Stream:       p.Stream,
		Prefixes:     structs.PromptPrefixes(text[:min(len(text), maxHashed)]),
	}, nil
}

func (e *Entry) knowsModel(m structs.ModelID) bool {
	if known, ok := e.config.Current().Models[m]; ok {
		return !known.Retired
	}
	_, served := e.pool.index.Load().models[m]
	return served
}

// classifyService reads a call of a plain service. Errors: errs.UnknownService,
// errs.BodyTooLarge.
func (e *Entry) classifyService(ctx *fasthttp.RequestCtx, c *classified) *errs.Error {
	name, path := splitService(string(ctx.Request.Header.RequestURI()))
	c.service = structs.ServiceID(name)
	svc, configured := e.config.Current().Services[c.service]
	if !configured && e.pool.index.Load().services[c.service] == nil {
		return errs.Newf(errs.UnknownService, "no service is called %q", name)
	}
	c.method = string(ctx.Method())
	c.path = path
	c.headers = serviceHeaders(&ctx.Request.Header)
	var err *errs.Error
	if c.body, err = e.readBody(ctx); err != nil {
		return err
	}
	c.nonIdempotent = isNonIdempotent(svc, configured, c.method)
	c.timeout = e.set.DefaultTimeout
	if svc.TimeoutMs > 0 {
		c.timeout = time.Duration(svc.TimeoutMs) * time.Millisecond
	}
	return nil
}

// splitService cuts /svc/NAME/rest?query into the name and /rest?query.
func splitService(uri string) (name, path string) {
	rest := uri[min(len(uri), len(pathService)):]
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return rest, "/"
	}
	if rest[end] == '?' {
		return rest[:end], "/" + rest[end:]
	}
	return rest[:end], rest[end:]
}

// isNonIdempotent goes by the configuration; for a service that it does not know yet, by what
// HTTP says of the method.
func isNonIdempotent(svc confstate.Service, configured bool, method string) bool {
	if configured {
		return slices.Contains(svc.NonIdempotent, method)
	}
	return method == fasthttp.MethodPost || method == fasthttp.MethodPatch
}

// serviceHeaders copies the headers that are meant for the service: not those of the
// connection, and not the caller's key to this system.
func serviceHeaders(h *fasthttp.RequestHeader) []structs.Header {
	var out []structs.Header
	for k, v := range h.All() {
		if isHopHeader(string(k)) {
			continue
		}
		out = append(out, structs.Header{Name: string(k), Value: string(v)})
	}
	return out
}

func isHopHeader(name string) bool {
	switch name {
	case "Authorization", "Connection", "Content-Length", "Host", "Keep-Alive",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "X-Request-Id", "X-Request-Timeout", "X-Priority":
		return true
	}
	return false
}
