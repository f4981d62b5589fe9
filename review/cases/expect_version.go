//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutusramp/review/stand"
)

const (
	// callInterval is the time between two requests of the usual traffic.
	callInterval = 100 * time.Millisecond
	weightsAfter = 3 * time.Second // from the start of the traffic until the weights change
	expectAfter  = 2 * time.Second // from then until the request that expects the former version
	jobAfter     = time.Second     // from then until the jobs
	trafficAfter = 5 * time.Second // from then until the end of the traffic
	formerWeight = 1
	newWeight    = 2
	// finish is the bound finish_s of kelpie-callback, and calm and idle are the spans of the rule LOST.
	finish = 18 * time.Second
	calm   = 5 * time.Second
	jobs   = 4
)

//go:embed configs/version.json
var versionConfig string

func init() { plays["expect-version"] = playExpectVersion }

// playExpectVersion lets one client expect the version of weights that runners had a moment ago, and checks that batch jobs
// that are accepted afterwards are done.
func playExpectVersion(p *play) error {
	var runners []*stand.Runner
	for i := range 3 {
		r := &stand.Runner{ID: fmt.Sprintf("i-7f3a91c%d", i), Slots: 8, Queue: 24, Events: 44, EventGap: 3 * time.Millisecond}
		r.SetWeightVersion(formerWeight)
		runners = append(runners, r)
	}
	d, err := newDeployment(p, versionConfig, runners, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { d.sendDrafts(stop) })
	time.Sleep(weightsAfter)
	p.record.Addf("the weights of all runners change from version %d to %d", formerWeight, newWeight)
	for _, r := range runners {
		r.SetWeightVersion(newWeight)
	}
	time.Sleep(expectAfter)
	d.sendExpecting()
	time.Sleep(jobAfter)
	var accepted []string
	for i := range jobs {
		id := fmt.Sprintf("7c41e09b52d6a3f%d", i)
		if d.submitJob(i, id, smallJobBody(id)).status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
	}
	if len(accepted) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	time.Sleep(trafficAfter)
	close(stop)
	traffic.Wait()
	p.record.Addf("the traffic ends")
	time.Sleep(finish)
	d.checkFinished(accepted)
	return nil
}

// sendDrafts sends the usual traffic to the gateways in turn until stop is closed.
func (d *deployment) sendDrafts(stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callInterval):
		}
		clients.Go(func() { d.sendDraft(fmt.Sprintf("9c41d07b%08x", n), n, nil) })
	}
}

// sendDraft makes one client attempt.
func (d *deployment) sendDraft(id string, client int, header map[string]string) answer {
	all := map[string]string{
		stand.Names.Headers.Model: "m", stand.Names.Headers.TokenCount: "450,44", stand.Names.Headers.PromptPrefix: "5c1e07a2:100,91bd3f06:100," + id + ":250", stand.Names.Headers.Deadline: strconv.FormatInt(draftLimit.Milliseconds(), 10),
	}
	for name, value := range header {
		all[name] = value
	}
	gateway := d.gateways[client%len(d.gateways)]
	a := send(newClient(draftLimit), http.MethodPost, gateway.CallersAddr, "/lohu930/2f", id, all, []byte("case notes"))
	d.record.Addf("request %s gets %s from %s", id, a, gateway.Name)
	return a
}

// sendExpecting sends one request that expects the former version of the weights, and makes its one retry.
func (d *deployment) sendExpecting() {
	var header map[string]string
	if d.isTrouble {
		header = map[string]string{stand.Names.Headers.ExpectVersion: strconv.Itoa(formerWeight)}
	}
	for try := range draftAttempts {
		id := fmt.Sprintf("e4402b7d%08x", try)
		d.record.Addf("request %s expects: %v", id, header)
		a := d.sendDraft(id, try, header)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusMisdirectedRequest {
			return
		}
		seconds, _ := strconv.ParseFloat(a.retryAfter, 64) // 0 without the header
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// checkFinished checks LOST for open jobs when finish_s is over: it is broken if an item is not listed although no runner has
// had a request in the last seconds, so that none of them worked or was full.
func (d *deployment) checkFinished(accepted []string) {
	for _, r := range d.runners {
		if time.Since(r.LastArrival()) < calm {
			d.record.Addf("%s has had a request in the last %s", r.ID, calm)
			return
		}
	}
	for i, id := range accepted {
		a := send(newClient(jobLimit), http.MethodGet, d.gateways[i%len(d.gateways)].CallersAddr, stand.Names.Paths.Job+id+"?after=0", id, nil, nil)
		var page struct {
			Total   int
			Results []struct{ ID, State string }
		}
		if err := json.Unmarshal([]byte(a.body), &page); err != nil {
			d.record.Addf("job %s can't be read: %s", id, a)
			continue
		}
		d.record.Addf("job %s: %d of %d items are listed", id, len(page.Results), page.Total)
		if len(page.Results) < page.Total {
			d.addBroken("LOST: of job %s, which was accepted with 202, %d of %d items are listed when finish_s is over, and no runner has had a request for %s", id, len(page.Results), page.Total, calm)
		}
	}
}
