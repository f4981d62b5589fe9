package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/plan"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/problem"
	"arbutusramp/internal/settings"
)

func sum(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// node is one entry as far as the administration API goes.
type node struct {
	t      *testing.T
	admin  *Admin
	follow *follow.Follower
	stop   context.CancelFunc
	audit  *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startNode(t *testing.T, log platform.Log, id structs.HostID) *node {
	self := settings.Entry{
		Host:                settings.Identity{ID: id, Domain: "d"},
		OperatorKeys:        map[string]string{"ann": sum("key of ann"), "ben": sum("key of ben")},
		RevokedOperatorKeys: map[string]string{"ann": sum("old key of ann")},
	}
	n := &node{t: t, audit: &lockedBuffer{}}
	n.follow = follow.New(follow.Options{Self: self, Log: log, Members: func() []platform.Host { return nil }})
	n.admin = New(Options{
		Self:   self,
		Config: n.follow,
		Log:    log,
		Logger: hclog.New(&hclog.LoggerOptions{Output: n.audit}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.follow.Run(ctx)
	return n
}

// kill ends the node.
func (n *node) kill() {
	n.stop()
	n.admin.Close()
}

// call sends one request as operator and returns status and body.
func (n *node) call(operator, method, path string, body []byte) (int, []byte) {
	var ctx fasthttp.RequestCtx
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetBody(body)
	if operator != "" {
		req.Header.Set("Authorization", "Bearer key of "+operator)
	}
	ctx.Init(&req, nil, nil)
	n.admin.Handler(&ctx)
	return ctx.Response.StatusCode(), ctx.Response.Body()
}

func (n *node) plan(operator, doc string) *plan.Plan {
	n.t.Helper()
	status, body := n.call(operator, "POST", PathPlan, []byte(doc))
	if status != fasthttp.StatusOK {
		n.t.Fatalf("plan: %d %s", status, body)
	}
	var p plan.Plan
	if err := json.Unmarshal(body, &p); err != nil {
		n.t.Fatal(err)
	}
	return &p
}

func (n *node) confirm(operator string, p *plan.Plan) (Confirmed, error) {
	n.t.Helper()
	doc, err := json.Marshal(p)
	if err != nil {
		n.t.Fatal(err)
	}
	status, body := n.call(operator, "POST", PathConfirm, doc)
	if status == fasthttp.StatusOK {
		var c Confirmed
		if err := json.Unmarshal(body, &c); err != nil {
			n.t.Fatal(err)
		}
		return c, nil
	}
	var answer problem.Body
	if err := json.Unmarshal(body, &answer); err != nil {
		n.t.Fatalf("%d %s", status, body)
	}
	return Confirmed{}, answer.Error
}

func (n *node) headroom() float64 { return n.follow.Current().Policy.Headroom }

const serveM = "[model m]\nversion = 1\nreplicas = %d\n"

// bubble runs f with a log and nodes in virtual time.
func bubble(t *testing.T, nodes int, f func(log *logmem.Log, n []*node)) {
	synctest.Test(t, func(t *testing.T) {
		log := logmem.New(1)
		var all []*node
		for i := range nodes {
			all = append(all, startNode(t, log, structs.HostID(fmt.Sprint("e", i))))
		}
		for _, n := range all {
			<-n.follow.Ready()
		}
		f(log, all)
		for _, n := range all {
			n.kill()
		}
		synctest.Wait()
	})
}
