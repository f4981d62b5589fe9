package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/admin"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/settings"
)

// serve starts an entry's administration API and returns its base URL. dropped
// is how many answers are cut off after the act.
func serve(t *testing.T, log platform.Log, dropped *atomic.Int64) string {
	t.Helper()
	sum := sha256.Sum256([]byte("key"))
	self := settings.Entry{
		Host:         settings.Identity{ID: "e", Domain: "d"},
		OperatorKeys: map[string]string{"ann": hex.EncodeToString(sum[:])},
	}
	f := follow.New(follow.Options{Self: self, Log: log, Members: func() []platform.Host { return nil }})
	a := admin.New(admin.Options{Self: self, Config: f, Log: log})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	<-f.Ready()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		a.Handler(c)
		if dropped.Add(-1) >= 0 {
			c.HijackSetNoResponse(true)
			c.Hijack(func(conn net.Conn) { conn.Close() })
		}
	}}
	go server.Serve(ln)
	t.Cleanup(func() {
		a.Close()
		cancel()
		<-done
		server.Shutdown()
	})
	return "http://" + ln.Addr().String()
}

func TestPlanConfirmStatusWatchConfig(t *testing.T) {
	var none atomic.Int64
	c := New(serve(t, logmem.New(1), &none), "key")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	p, err := c.Plan(ctx, "m.ini", []byte("[model m]\nversion = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := c.Confirm(ctx, p); err != nil || got.Version != 1 || got.Operator != "ann" {
		t.Fatalf("confirmed %+v, error %v", got, err)
	}
	st, err := c.Status(ctx)
	if err != nil || len(st.Models) != 1 || st.Models[0].Met {
		t.Errorf("status %+v, error %v", st, err)
	}
	same, err := c.Watch(ctx, st.Tag, time.Millisecond)
	if err != nil || same.Tag != st.Tag {
		t.Errorf("watch %+v, error %v", same, err)
	}
	s, err := c.Config(ctx)
	if err != nil || s.Models["m"].Version != "1" {
		t.Errorf("configuration %+v, error %v", s, err)
	}
}

// Symptom: an operator is told that a confirm failed, and it is in force.
// Sequence: the connection breaks after the act and before its answer.
func TestConfirmWithLostAnswers(t *testing.T) {
	var dropped atomic.Int64
	log := logmem.New(1)
	c := New(serve(t, log, &dropped), "key")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	p, err := c.Plan(ctx, "p.ini", []byte("[policy]\nheadroom = 0.2\n"))
	if err != nil {
		t.Fatal(err)
	}
	dropped.Store(2)
	got, err := c.Confirm(ctx, p)
	if err != nil || got.Version != 1 {
		t.Errorf("confirmed %+v, error %v", got, err)
	}
	if appends, _ := log.Appends(); appends != 1 {
		t.Errorf("%d records", appends)
	}
}

func TestFaultsAndWrongKeysKeepTheirType(t *testing.T) {
	var none atomic.Int64
	base := serve(t, logmem.New(1), &none)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := New(base, "key").Plan(ctx, "m.ini", []byte("[model m]\nreplica = 1\n"))
	if !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), "m.ini: [model m] replica: unknown key") {
		t.Errorf("error %v", err)
	}
	if _, err := New(base, "other").Status(ctx); !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("error %v", err)
	}
}
