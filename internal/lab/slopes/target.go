package slopes

import (
	"bufio"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// thinTarget is the counterpart of a side: a service that answers at once, and an engine
// whose streams get a token at each burst.
type thinTarget struct {
	ln     net.Listener
	server *fasthttp.Server
	answer []byte // to all other calls

	mu      sync.Mutex
	streams int
	next    chan struct{} // closed and replaced at each burst
	gone    chan struct{}
}

func startThinTarget(answer []byte) (*thinTarget, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "listen: %v", err)
	}
	t := &thinTarget{ln: ln, answer: answer, next: make(chan struct{}), gone: make(chan struct{})}
	t.server = &fasthttp.Server{Handler: t.serve, NoDefaultServerHeader: true, NoDefaultDate: true}
	go func() {
		_ = t.server.Serve(ln) // it ends when the listener is closed
	}()
	return t, nil
}

func (t *thinTarget) url() string { return "http://" + t.ln.Addr().String() }

func (t *thinTarget) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/engine/load":
		ctx.SetBodyString(`{"running":0,"waiting":0,"cache_used":0,"models":["` + string(modelID(0)) + `"]}`)
	case "/v1/chat/completions":
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(t.stream)
	default:
		ctx.SetBody(t.answer)
	}
}

func (t *thinTarget) wait() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// stream writes one token at each burst until the connection or the target ends.
func (t *thinTarget) stream(w *bufio.Writer) {
	t.mu.Lock()
	t.streams++
	var next <-chan struct{} = t.next
	t.mu.Unlock()
	var buf []byte
	for pos := 0; ; pos++ {
		select {
		case <-next:
		case <-t.gone:
			return
		}
		next = t.wait()
		buf = strconv.AppendInt(append(buf[:0], "id: "...), int64(pos), 10)
		buf = append(append(append(buf, "\ndata: "...), tokenEvent...), "\n\n"...)
		if _, err := w.Write(buf); err != nil {
			return
		}
		if err := w.Flush(); err != nil {
			return
		}
	}
}

func (t *thinTarget) open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams
}

func (t *thinTarget) burst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.next)
	t.next = make(chan struct{})
}

func (t *thinTarget) close() {
	close(t.gone)
	t.ln.Close()
}
