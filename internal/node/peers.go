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
	// peerIdleTimeout is how long a connection from another entry stays open between requests.
	peerIdleTimeout = 2 * time.Minute
	// peerReadTimeout bounds the time for reading one request of another entry.
	peerReadTimeout = time.Minute
	// peerStopTimeout bounds the time that Close waits for requests in flight.
	peerStopTimeout = time.Second
	// maxPeerBodyBytes bounds the body of a request between entries, which is a segment of a job's file or the
	// outcome of an item.
	maxPeerBodyBytes = 64 << 20
)

// entryPeerRoute is the handler for a path of the peer listener, which serves other entries, and for the paths
// below it.
type entryPeerRoute struct {
	path    string
	handler fasthttp.RequestHandler
}

// serveEntryPeers returns a function that starts a server of routes for other entries on a listener and returns
// its closer.
func serveEntryPeers(routes []entryPeerRoute, logger hclog.Logger) func(net.Listener) io.Closer {
	return func(ln net.Listener) io.Closer {
		s := &fasthttp.Server{
			Handler:               routeEntryPeers(routes),
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
		return entryPeerServer{s}
	}
}

// routeEntryPeers returns a handler that calls the first of routes whose path matches.
func routeEntryPeers(routes []entryPeerRoute) fasthttp.RequestHandler {
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

// entryPeerServer is a server whose Close waits up to peerStopTimeout for requests in flight.
type entryPeerServer struct{ *fasthttp.Server }

// Close implements io.Closer.
func (s entryPeerServer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	return s.ShutdownWithContext(ctx)
}
