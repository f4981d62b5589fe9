//go:build review

package main

import (
	_ "embed"
	"fmt"
	"strconv"
	"sync"
	"time"

	"arbutusramp/review/stand"
)

// The site's troubles have garble with how = "extra late", share = 0.6, x = 0.03, for_s = 5.0.
const (
	garbledRunners = 3 // of runnerCount: share 0.6
	secondAnswers  = 0.03
	garbleTime     = 5 * time.Second
	garblePause    = 5 * time.Second
	garbleWindows  = 4

	runnerCount   = 5
	draftClients  = 70
	draftLimit    = 5 * time.Second
	draftAttempts = 2 // the first and one retry
)

// draftConfig has the route of summary-draft: a stream that may not be resumed.
//
//go:embed configs/draft.json
var draftConfig string

// draftAttempt is one client attempt.
type draftAttempt struct {
	id string
	answer
}

func init() { plays["second-answer"] = playSecondAnswer }

// playSecondAnswer lets runners send answers a second time, late, while some of their answers are rejections of a full
// runner, and checks that no stream runs twice.
func playSecondAnswer(p *play) error {
	var runners []*stand.Runner
	for i := range runnerCount {
		runners = append(runners, &stand.Runner{ID: fmt.Sprintf("i-7f3a91c%d", i), Slots: 8, Queue: 2, Events: 44, EventGap: 3 * time.Millisecond})
	}
	d, err := newDeployment(p, draftConfig, runners, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var attempts []draftAttempt
	stopAt := time.Now().Add(garbleWindows * (garbleTime + garblePause))
	var clients sync.WaitGroup
	for i := range draftClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(stopAt); n++ {
				for _, a := range d.requestDraft(i, n) {
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
			}
		})
	}
	for range garbleWindows {
		d.setSecondAnswers(secondAnswers)
		time.Sleep(garbleTime)
		d.setSecondAnswers(0)
		time.Sleep(garblePause)
	}
	clients.Wait()
	time.Sleep(time.Second) // runs that are still under way
	for _, r := range runners {
		rejected, sentAgain := r.Stats()
		p.record.Addf("%s: rejected %d requests as not run; second answers: %v", r.ID, rejected, sentAgain)
	}
	statuses := make(map[string]int)
	for _, a := range attempts {
		statuses[a.answer.String()]++
		runs := d.runs.Of(a.id)
		if len(runs) > 1 {
			p.addBroken("TWICE: request %s, a stream that may not be resumed, ran %d times, at %s and %s %d ms later; its client got %s", a.id, len(runs), runs[0].Runner, runs[1].Runner, runs[1].Began.Sub(runs[0].Began).Milliseconds(), a.answer)
		}
		if len(runs) > 0 && a.status == 503 {
			p.addBroken("REFUSED: request %s was answered 503 and ran %d times", a.id, len(runs))
		}
	}
	p.record.Addf("%d client attempts: %v", len(attempts), statuses)
	fmt.Println(len(attempts), "client attempts:", statuses)
	if statuses["200"] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// setSecondAnswers begins the disruption at the garbled runners, or ends it with 0.
func (d *deployment) setSecondAnswers(share float64) {
	if !d.isTrouble {
		return
	}
	d.record.Addf("share of answers that %d runners send a second time: %g", garbledRunners, share)
	for _, r := range d.runners[:garbledRunners] {
		r.SetSecondAnswers(share)
	}
}

// requestDraft makes a request with its retry and returns its attempts. Each goes to another gateway on a new channel.
func (d *deployment) requestDraft(client, n int) (attempts []draftAttempt) {
	began := time.Now()
	for try := range draftAttempts {
		left := draftLimit - time.Since(began)
		a := draftAttempt{id: fmt.Sprintf("%04x%06x%02x", client, n, try)}
		gateway := d.gateways[(client+n+try)%len(d.gateways)]
		d.record.Addf("client %d sends %s to %s", client, a.id, gateway.Name)
		a.answer = send(newClient(left), "POST", gateway.CallersAddr, "/lohu930/2f", a.id, map[string]string{
			stand.Names.Headers.Model: "m", stand.Names.Headers.TokenCount: "450,44", stand.Names.Headers.PromptPrefix: fmt.Sprintf("5c1e07a2:100,91bd%04x:100,%s:250", client, a.id), stand.Names.Headers.Deadline: strconv.FormatInt(left.Milliseconds(), 10),
		}, []byte("case notes"))
		d.record.Addf("client %d gets %s for %s", client, a.answer, a.id)
		attempts = append(attempts, a)
		// A request that may not be repeated is retried only after a promise that it has not run.
		if a.status != 503 && a.status != 429 {
			return attempts
		}
		seconds, _ := strconv.ParseFloat(a.retryAfter, 64) // 0 without the header
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), (draftLimit-time.Since(began))/3))
	}
	return attempts
}
