package node

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

const (
	peerIdleTimeout = 2 * time.Minute
	peerReadTimeout = time.Minute
	peerStopTimeout = time.Second
	// maxPeerBodyBytes bounds the body of a call between entries: a segment of a job's file, or an outcome.
	maxPeerBodyBytes = 64 << 20
)

// peerRoute serves a path of the peer listener and the paths below it.
type peerRoute struct {
	path    string
	handler fasthttp.RequestHandler
}

// servePeers returns a function that serves routes on the peer listener.
func servePeers(routes []peerRoute, logger hclog.Logger) func(net.Listener) io.Closer {
	return func(ln net.Listener) io.Closer {
		s := &fasthttp.Server{
			Handler:               routePeers(routes),
			IdleTimeout:           peerIdleTimeout,
			ReadTimeout:           peerReadTimeout,
			MaxRequestBodySize:    maxPeerBodyBytes,
			CloseOnShutdown:       true,
			NoDefaultServerHeader: true,
			NoDefaultDate:         true,
			Logger:                logger.StandardLogger(nil),
		}
		go func() {
			if err := s.Serve(ln); err != nil {
				logger.Error("peer listener stopped", "error", err)
			}
		}()
		return peerServer{s}
	}
}

func routePeers(routes []peerRoute) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		for _, r := range routes {
			if path == r.path || strings.HasPrefix(path, r.path+"/") {
				r.handler(ctx)
				return
			}
		}
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

type peerServer struct{ *fasthttp.Server }

// Close implements io.Closer.
func (p peerServer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	return p.ShutdownWithContext(ctx)
}
