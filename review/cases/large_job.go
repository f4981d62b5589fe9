//go:build review

package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/backlog"
	"arbutusramp/core/costmodel"
	"arbutusramp/core/serving"
	"arbutusramp/review/stand"
)

// The site's troubles have platform_lost with how = "late", x = 0.35, for_s = 4.5; such writes are done 1 to 6 s later.
const (
	lateShare    = 0.35
	lateMinDelay = time.Second
	lateMaxDelay = 6 * time.Second
	lateTime     = 4500 * time.Millisecond
	lateWindows  = 2
	windowGap    = 3 * time.Second

	jobClients  = 3
	jobLimit    = 4 * time.Second // of one client attempt
	jobAttempts = 3
	jobPause    = 300 * time.Millisecond
	itemCount   = 82
	itemBytes   = 25_000 // of the body of each item, about
	// promptTokens and outputTokens are those of an item.
	promptTokens = 350
	outputTokens = 306
	readPause    = 500 * time.Millisecond
	readTries    = 3
)

// jobConfig has the route of overnight-notes.
//
//go:embed configs/job.json
var jobConfig string

// jobItem is an item as a client submits it.
type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

func init() { plays["large-job"] = playLargeJob }

// playLargeJob submits jobs of about 2 MB while writes to the store are lost and done late, restarts the gateways one
// after the other, and checks that each accepted job can still be read.
func playLargeJob(p *play) error {
	var runners []*stand.Runner
	for i := range 4 {
		runners = append(runners, &stand.Runner{ID: fmt.Sprintf("i-7f3a91c%d", i), Slots: 8, Queue: 24, Events: 10, EventGap: 5 * time.Millisecond})
	}
	d, err := newDeployment(p, jobConfig, runners, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	accepted := d.submitJobs()
	if len(accepted) == 0 {
		return fmt.Errorf("no job was accepted")
	}
	time.Sleep(lateMaxDelay + time.Second) // the late writes are done
	p.record.Addf("writes: %d answered, %d late, %d of these refused because their condition did not hold any more", d.store.Count("answered"), d.store.Count("late"), d.store.Count("late, refused"))
	d.checkJobs(accepted, "before the restarts")
	for _, g := range d.gateways {
		p.record.Addf("%s gets SIGTERM", g.Name)
		g.Stop()
		if err := g.Start(); err != nil {
			return err
		}
		if err := g.AwaitReady(); err != nil {
			return err
		}
		p.record.Addf("%s is ready again", g.Name)
	}
	time.Sleep(stableWindow + time.Second)
	d.checkJobs(accepted, "after the restarts")
	return nil
}

// submitJobs submits jobs during the disruption and returns the ids of the accepted ones.
func (d *deployment) submitJobs() (accepted []string) {
	var mu sync.Mutex
	statuses := make(map[string]int)
	for window := range lateWindows {
		if d.isTrouble {
			d.store.SetLateWrites(stand.LateWrites{Share: lateShare, MinDelay: lateMinDelay, MaxDelay: lateMaxDelay})
			d.record.Addf("store: begins to lose answers of writes")
		}
		stopAt := time.Now().Add(lateTime)
		var clients sync.WaitGroup
		for i := range jobClients {
			clients.Go(func() {
				for n := 0; time.Now().Before(stopAt); n++ {
					id := fmt.Sprintf("7c41%02x%02x%04x", window, i, n)
					body := newJobBody(id, promptTokens, outputTokens)
					a := d.submitJob(i, id, body)
					mu.Lock()
					statuses[a.String()]++
					if a.status == http.StatusAccepted {
						accepted = append(accepted, id)
					}
					mu.Unlock()
					time.Sleep(jobPause)
				}
			})
		}
		time.Sleep(time.Until(stopAt))
		d.store.SetLateWrites(stand.LateWrites{})
		d.record.Addf("store: answers all writes again")
		clients.Wait()
		time.Sleep(windowGap)
	}
	d.record.Addf("last answers for jobs: %v", statuses)
	fmt.Println("last answers for jobs:", statuses)
	return accepted
}

// submitJob submits a job until it is accepted, each time at another gateway on a new channel, and returns the last answer.
func (d *deployment) submitJob(client int, id string, body []byte) (a answer) {
	for try := range jobAttempts {
		gateway := d.gateways[(client+try)%len(d.gateways)]
		d.record.Addf("client %d submits job %s to %s, %d bytes", client, id, gateway.Name, len(body))
		a = send(newClient(jobLimit), http.MethodPost, gateway.CallersAddr, "/pule252/7c41e0", id, map[string]string{"Content-Type": "application/json"}, body)
		d.record.Addf("client %d gets %s for job %s", client, a, id)
		if a.status == http.StatusAccepted {
			return a
		}
		seconds, _ := strconv.ParseFloat(a.retryAfter, 64) // 0 without the header
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return a
}

// checkJobs reads the accepted jobs at each gateway. A job breaks the rule if a gateway says at each of some reads that it
// does not exist.
func (d *deployment) checkJobs(accepted []string, when string) {
	for _, g := range d.gateways {
		for _, id := range accepted {
			var statuses []int
			for range readTries {
				a := send(newClient(jobLimit), http.MethodGet, g.CallersAddr, stand.Names.Paths.Job+id+"?after=0", id, nil, nil)
				statuses = append(statuses, a.status)
				if a.status != http.StatusNotFound {
					break
				}
				time.Sleep(readPause)
			}
			d.record.Addf("%s, job %s is read at %s: %v", when, id, g.Name, statuses)
			if statuses[len(statuses)-1] == http.StatusNotFound {
				d.addBroken("LOST: %s, %s answers 404 for job %s, which was accepted with 202", when, g.Name, id)
			}
		}
	}
}

// newJobBody returns the body of a submission. The size of the first item is chosen so that the part of the job's record
// that a gateway writes first ends among the headers of an item.
func newJobBody(id string, promptTokens, outputTokens int) []byte {
	items := make([]jobItem, itemCount)
	for i := range items {
		body := make([]byte, itemBytes)
		for j := range body {
			body[j] = byte(rand.Uint32())
		}
		items[i] = jobItem{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/pule252/3/91c4", Body: body, Tokens: promptTokens + outputTokens,
			Headers: map[string]string{
				stand.Names.Headers.Model: "m", stand.Names.Headers.TokenCount: fmt.Sprintf("%d,%d", promptTokens, outputTokens), stand.Names.Headers.LengthHint: "300", stand.Names.Headers.PromptPrefix: fmt.Sprintf("9c2e41:100,%06x:250", i),
			},
		}
	}
	shift := boundaryShift(id, items, costmodel.Size{PromptTokens: promptTokens, MaxOutputTokens: outputTokens, LengthHint: 300})
	items[0].Body = append(items[0].Body, make([]byte, shift)...)
	data, _ := json.Marshal(map[string]any{"items": items}) // such items can always be encoded
	return data
}

// firstWriteBytes is how much of a job's record a gateway writes before the rest: nine chunks of 200 KiB.
const firstWriteBytes = 9 * 200 << 10

// boundaryShift returns by how many bytes the job has to grow at its beginning so that firstWriteBytes falls into the middle
// of the headers of an item.
func boundaryShift(id string, items []jobItem, size costmodel.Size) int {
	job := backlog.Job{ID: id, Route: "overnight-notes", Host: host, SubmittedMs: time.Now().UnixMilli(), DueWithin: 18 * time.Second, RetainFor: time.Minute, MaxAttempts: 3, Rank: 2}
	for _, item := range items {
		header := map[string][]string{stand.Names.Headers.RequestID: {item.ID}}
		for name, value := range item.Headers {
			header[name] = []string{value}
		}
		job.Items = append(job.Items, backlog.Item{
			ID: item.ID, URI: item.Path, Header: header, Body: item.Body, Tokens: int64(item.Tokens),
			Size:   size,
			Prompt: serving.Prompt{Model: "m", Parts: []string{"9c2e41", item.Headers[stand.Names.Headers.PromptPrefix][11:17]}},
		})
	}
	data, _ := cbor.Marshal(job) // such a job can always be encoded
	// The headers of an item lie between its path and its body.
	middle := 0
	for at := 0; ; {
		i := bytes.Index(data[at:], []byte("/pule252/3/91c4"))
		if i < 0 || at+i > firstWriteBytes-200 {
			break
		}
		at += i + 1
		middle = at + 130
	}
	return firstWriteBytes - middle
}

// smallJobBody returns the body of a submission of ten items.
func smallJobBody(id string) []byte {
	var items []jobItem
	for i := range 10 {
		items = append(items, jobItem{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/pule252/3/91c4", Body: []byte("case notes"), Tokens: 656,
			Headers: map[string]string{stand.Names.Headers.Model: "m", stand.Names.Headers.TokenCount: "350,306", stand.Names.Headers.PromptPrefix: fmt.Sprintf("9c2e41:100,%06x:250", i)},
		})
	}
	data, _ := json.Marshal(map[string]any{"items": items}) // such items can always be encoded
	return data
}
