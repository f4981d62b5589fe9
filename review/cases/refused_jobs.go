//go:build review

package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutusramp/review/stand"
)

const (
	// jobsPerSecond is the usual rate of batch jobs of kelpie-callback; the site's troubles have burst of overnight-notes
	// with x = 6.0, for_s = 3.0.
	jobsPerSecond = 0.514
	burstFactor   = 6
	burstTime     = 3 * time.Second
	burstPause    = time.Second
	burstCount    = 12
	// ramLimit is ram_mb of kelpie-callback.
	ramLimit       = 324 << 20
	watchInterval  = 250 * time.Millisecond
	restartDelay   = time.Second
	watchAfterward = 25 * time.Second
	readAfterward  = 10 * time.Second // the last part of it, in which the accepted job is read
	// faultEnds is how often a process may not end by itself in a day.
	faultEnds = 3
	// Ten jobs whose items are of this size fit the limit of refusedJobConfig.
	longPromptTokens = 500
	longOutputTokens = 2000
)

// refusedJobConfig is jobConfig with the limit of waiting tokens of kelpie-callback.
//
//go:embed configs/refused-job.json
var refusedJobConfig string

func init() { plays["refused-jobs"] = playRefusedJobs }

// playRefusedJobs submits more jobs than fit the limit of the route, and checks that the gateways stay within their memory
// and still answer.
func playRefusedJobs(p *play) error {
	var runners []*stand.Runner
	for i := range 4 {
		runners = append(runners, &stand.Runner{ID: fmt.Sprintf("i-7f3a91c%d", i), Slots: 8, Queue: 24, Events: 300, EventGap: 10 * time.Millisecond})
	}
	d, err := newDeployment(p, refusedJobConfig, runners, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	const accepted = "7c41e09b52d6a3f8"
	if a := d.submitJob(0, accepted, smallJobBody(accepted)); a.status != http.StatusAccepted {
		return fmt.Errorf("the first job was not accepted: %s", a)
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	endsAt := make([][]time.Time, len(d.gateways))
	for i, g := range d.gateways {
		watchers.Go(func() { endsAt[i] = d.watchMemory(g, stop) })
	}
	d.submitRefusedJobs()
	trafficEnd := time.Now()
	p.record.Addf("no more jobs are submitted")
	time.Sleep(watchAfterward - readAfterward)
	isRead := d.canRead(accepted, readAfterward)
	close(stop)
	watchers.Wait()
	affected := 0
	for i, g := range d.gateways {
		after := 0
		for _, t := range endsAt[i] {
			if t.After(trafficEnd) {
				after++
			}
		}
		p.record.Addf("%s was killed %d times because it exceeded ram_mb, %d of them after the last submission", g.Name, len(endsAt[i]), after)
		if after >= faultEnds {
			affected++
		}
	}
	if affected >= 2 {
		p.addBroken("Fault: %d of %d gateways exceeded ram_mb (%d MB) %d times or more after the last submission", affected, len(d.gateways), ramLimit>>20, faultEnds)
	}
	if !isRead {
		p.addBroken("LOST: job %s, which was accepted with 202, could be read at no gateway in the last %s of the play", accepted, readAfterward)
	}
	return nil
}

// canRead reports whether any gateway answers a read of a job within a time.
func (d *deployment) canRead(id string, within time.Duration) (isRead bool) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(readPause) {
		for _, g := range d.gateways {
			a := send(newClient(time.Second), http.MethodGet, g.CallersAddr, stand.Names.Paths.Job+id+"?after=0", id, nil, nil)
			d.record.Addf("job %s is read at %s: %s", id, g.Name, a)
			isRead = isRead || a.status == http.StatusOK
		}
	}
	return isRead
}

// watchMemory does to a gateway what the platform does: a process that exceeds ramLimit is killed, and one that has ended is
// started again after a short delay. It returns when that was.
func (d *deployment) watchMemory(g *stand.Gateway, stop <-chan struct{}) (endsAt []time.Time) {
	highest := 0
	for {
		select {
		case <-stop:
			d.record.Addf("%s: highest memory since its last start %d MB", g.Name, highest>>20)
			return endsAt
		case <-time.After(watchInterval):
		}
		bytes := g.MemoryBytes()
		highest = max(highest, bytes)
		if bytes <= ramLimit {
			continue
		}
		endsAt = append(endsAt, time.Now())
		d.record.Addf("%s: memory %d MB exceeds %d MB: killed, and started again", g.Name, bytes>>20, ramLimit>>20)
		g.Kill()
		time.Sleep(restartDelay)
		highest = 0
		if err := g.Start(); err != nil {
			d.record.Addf("%s could not be started: %v", g.Name, err)
			return endsAt
		}
	}
}

// submitRefusedJobs submits jobs at the usual rate, and at burstFactor times that rate during bursts.
func (d *deployment) submitRefusedJobs() {
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	n := 0
	submitFor := func(duration time.Duration, perSecond float64) {
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
			id, client := fmt.Sprintf("5e1d%08x", n), n
			n++
			clients.Go(func() {
				a := d.submitRefusedJob(client, id, newJobBody(id, longPromptTokens, longOutputTokens))
				mu.Lock()
				defer mu.Unlock()
				statuses[a.String()]++
			})
		}
	}
	for range burstCount {
		factor := 1.0
		if d.isTrouble {
			factor = burstFactor
		}
		submitFor(burstTime, factor*jobsPerSecond)
		submitFor(burstPause, jobsPerSecond)
	}
	clients.Wait()
	d.record.Addf("%d jobs, last answers: %v", n, statuses)
	fmt.Println(n, "jobs, last answers:", statuses)
}

// submitRefusedJob submits a job with one retry and returns the last answer.
func (d *deployment) submitRefusedJob(client int, id string, body []byte) (a answer) {
	for try := range 2 {
		gateway := d.gateways[(client+try)%len(d.gateways)]
		a = send(newClient(jobLimit), http.MethodPost, gateway.CallersAddr, "/pule252/7c41e0", id, map[string]string{"Content-Type": "application/json"}, body)
		d.record.Addf("job %s, %d bytes, gets %s from %s", id, len(body), a, gateway.Name)
		if a.status == http.StatusAccepted {
			return a
		}
		time.Sleep(time.Second / 2)
	}
	return a
}
