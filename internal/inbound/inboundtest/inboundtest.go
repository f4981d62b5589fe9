// Package inboundtest serves handlers that read their requests through package inbound, for tests.
package inboundtest

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/serving"
	"arbutusramp/internal/inbound"
)

// host has more than a test needs.
var host = inbound.Host{MemoryBytes: 1 << 30, Descriptors: 1000}

// NewServer returns a server for h, with an account of its own and the default limits, that is closed after the test.
func NewServer(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	l := inbound.NewListener(s.Listener, inbound.Options{
		Name: "test", Account: inbound.NewAccount(host, hclog.NewNullLogger(), metrics.NewRegistry()),
		Limits: func() serving.Limits { return serving.DefaultLimits }, Log: hclog.NewNullLogger(),
	})
	s.Listener, s.Config = l, l.NewServer(h)
	s.Start()
	t.Cleanup(s.Close)
	return s
}
