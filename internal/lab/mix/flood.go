package mix

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
)

// floodPerEngine is how many batch items are kept at each engine when everything is sent
// straight on: the running batch and as many waiting, so that it is always full.
const floodPerEngine = 64

// flood keeps the engines full of batch items, first come first served, until ctx ends.
func flood(ctx context.Context, f *feed, engines []*engine.Server) {
	transport := &http.Transport{MaxIdleConnsPerHost: floodPerEngine}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var wg sync.WaitGroup
	for _, e := range engines {
		for range floodPerEngine {
			wg.Go(func() {
				for ctx.Err() == nil {
					f.sendStraight(ctx, client, e.URL())
				}
			})
		}
	}
	wg.Wait()
}

func (f *feed) sendStraight(ctx context.Context, client *http.Client, base string) {
	f.mu.Lock()
	w := f.take("straight")
	f.mu.Unlock()
	done := &structs.ItemDone{Ref: w.item.Ref, GaveBack: true}
	req, err := http.NewRequestWithContext(ctx, w.item.Method, base+w.item.Path, bytes.NewReader(w.item.Body))
	if err == nil {
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			done.Body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
	}
	done.GaveBack = err != nil
	f.ended(done)
}
