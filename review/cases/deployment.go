//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/review/stand"
)

const (
	partitions = 8
	host       = "ficu95.example"
	// stableWindow is the bound stable_window_ms of kelpie-callback, after which machines are in touch.
	stableWindow = 3 * time.Second
	// heartbeat is heartbeat_ms of kelpie-callback.
	heartbeat = 1200 * time.Millisecond
)

// deployment is a small deployment: a store, runners and gateways.
type deployment struct {
	*play
	store    *stand.Store
	server   *httptest.Server
	runs     *stand.Runs
	runners  []*stand.Runner
	gateways []*stand.Gateway
	stopBeat context.CancelFunc
}

// newDeployment starts the store with a configuration, the runners and the gateways, and waits until the machines are in
// touch.
func newDeployment(p *play, config string, runners []*stand.Runner, gatewayCount int) (*deployment, error) {
	d := &deployment{play: p, store: stand.NewStore(partitions, p.record), runs: stand.NewRuns(), runners: runners}
	view := d.store.Log.View()
	ctx := context.Background()
	if err := stand.Put(ctx, view, stand.Names.Topics.Operator, "config", []byte(config)); err != nil {
		return nil, err
	}
	for i, r := range runners {
		if err := r.Start(d.runs, p.record); err != nil {
			return nil, err
		}
		if err := stand.Put(ctx, view, stand.Names.Topics.Runners, r.ID, r.Entry(zone(i), 1)); err != nil {
			return nil, err
		}
	}
	d.beat(view)
	d.server = d.store.Serve()
	for i := range gatewayCount {
		g, err := stand.NewGateway(fmt.Sprintf("front-%s-%d", zone(i), i), zone(i), p.dir, d.server.Listener.Addr().String())
		if err != nil {
			return d, err
		}
		d.gateways = append(d.gateways, g)
		if err := g.Start(); err != nil {
			return d, err
		}
	}
	for _, g := range d.gateways {
		if err := g.AwaitReady(); err != nil {
			return d, err
		}
	}
	time.Sleep(stableWindow)
	p.record.Addf("%d gateways are ready, with %d runners", gatewayCount, len(runners))
	return d, nil
}

// beat lets the runners write their entries again and again until the end of the play.
func (d *deployment) beat(view platform.Store) {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopBeat = cancel
	go func() {
		for seq := 2; ctx.Err() == nil; seq++ {
			time.Sleep(heartbeat)
			for i, r := range d.runners {
				_ = stand.Put(ctx, view, stand.Names.Topics.Runners, r.ID, r.Entry(zone(i), seq)) // the store in this process takes it
			}
		}
	}()
}

func zone(i int) string { return []string{"hall-forth", "hall-clyde", "hall-tay"}[i%3] }

// stop ends all processes.
func (d *deployment) stop() {
	if d == nil {
		return
	}
	d.stopBeat()
	for _, g := range d.gateways {
		g.Kill()
	}
	d.server.CloseClientConnections()
	d.server.Close()
}

// answer is what a client got. Status 0 stands for no complete answer.
type answer struct {
	status     int
	body       string
	retryAfter string
	err        error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return fmt.Sprint(a.status)
}

// send sends a request on a new channel, or on one that the client keeps.
func send(client *http.Client, method, addr, path, id string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil // the HTTP client must not repeat the request by itself
	req.Host = host
	req.Header.Set(stand.Names.Headers.RequestID, id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(data), retryAfter: resp.Header.Get("Retry-After")}
}

// newClient returns a client whose attempts end after a time limit. It uses each channel once.
func newClient(limit time.Duration) *http.Client {
	return &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
}
