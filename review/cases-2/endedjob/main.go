//go:build review

// Command endedjob has many batch jobs of short items come at once, ends the last of them, and checks that no item of
// it runs that reached a runner later than cancel_ms after the ack of the end.
package main

import (
	"fmt"
	"sync"
	"time"

	"arbutusramp/review/cases-2/rig"
)

const (
	cancelBound = 3 * time.Second // cancel_ms of the rule

	gateways    = 2
	runners     = 9
	slots       = 8
	jobs        = 20
	itemsPerJob = 200 // the most that a job may have
	promptSize  = 350 // tokens
	outputSize  = 8   // tokens
	maxQueued   = 2_200_000

	host    = "jobs.example"
	path    = "/notes/1"
	service = "drafting-llm"

	stableWindow = 3 * time.Second // after it the gateways are in touch
	// endDelay is the time from the 202 of the last job to its end.
	endDelay = 2 * time.Second
	// calmGap is the time between two jobs that do not come at once; a job takes less.
	calmGap = 2 * time.Second
	// tail is the time after the end in which the queued items run.
	tail = 20 * time.Second
)

func main() { rig.Main(run) }

// observer records the runs of items, and those of jobs that were ended.
type observer struct {
	record *rig.Record

	mu        sync.Mutex
	reachedAt map[string]time.Time // by item, the last time at which it reached a runner
	endedAt   map[string]time.Time // by job, when its end was acknowledged
	runs      int
	runsEnded int // of items of ended jobs, which reached a runner after the ack
	runsLate  int // of these, those that reached it later than cancelBound
	latest    time.Duration
}

func (o *observer) onReached(_, item string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reachedAt[item] = at
}

func (o *observer) onRun(runner, item string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs++
	o.record.Add("item %s runs at %s", item, runner)
	end, isEnded := o.endedAt[jobOf(item)]
	since := o.reachedAt[item].Sub(end)
	if !isEnded || since < 0 {
		return
	}
	o.runsEnded++
	o.latest = max(o.latest, since)
	if since > cancelBound {
		o.runsLate++
		o.record.Add("item %s reached runner %s %d ms after the ack of the end of its job, and runs", item, runner, since.Milliseconds())
	}
}

// noteEnd records the ack of the end of a job.
func (o *observer) noteEnd(job string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedAt[job] = at
}

const jobIDLength = 5

func jobOf(item string) string { return item[:jobIDLength] }

func run(record *rig.Record) (int, error) {
	s, err := rig.NewSystem(record)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	o := &observer{record: record, reachedAt: make(map[string]time.Time), endedAt: make(map[string]time.Time)}
	if err := start(s, o); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow + time.Second)
	if err := sendJobs(s, o); err != nil {
		return 0, err
	}
	time.Sleep(tail)
	o.mu.Lock()
	defer o.mu.Unlock()
	record.Say("%d runs; %d items of the ended job reached a runner after the ack of its end, the latest %d ms after it; %d of them later than %d ms",
		o.runs, o.runsEnded, o.latest.Milliseconds(), o.runsLate, cancelBound.Milliseconds())
	if o.runsLate > 0 {
		return rig.ExitBroken, nil
	}
	return rig.ExitHeld, nil
}

// start starts the runners and the gateways.
func start(s *rig.System, o *observer) error {
	if err := s.PutConfig(rig.Config(1, rig.BatchRoute("notes", host, "/notes/", service, maxQueued))); err != nil {
		return err
	}
	for i := range runners {
		r := &rig.Runner{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "hall-forth", Slots: slots, Engine: rig.KelpieEngine, OnReached: o.onReached, OnRun: o.onRun}
		if err := s.StartRunner(r); err != nil {
			return err
		}
	}
	for i := range gateways {
		if _, err := s.AddGateway(fmt.Sprintf("front-%d", i), "hall-forth"); err != nil {
			return err
		}
	}
	return s.AwaitReady(20 * time.Second)
}

// sendJobs submits the jobs, at once or one after the other, and ends the last one.
func sendJobs(s *rig.System, o *observer) error {
	client := rig.NewClient(host, s.Record, 4*time.Second)
	var job, addr string
	for i := range jobs {
		job = fmt.Sprintf("job%02d", i)
		addr = s.Gateways[i%gateways].Callers
		if status := client.Submit(addr, path, job, rig.Items(job, path, itemsPerJob, promptSize, outputSize)); status != 202 {
			return fmt.Errorf("job %s was answered with status %d", job, status)
		}
		if !rig.IsTroubled() && i < jobs-1 {
			time.Sleep(calmGap)
		}
	}
	time.Sleep(endDelay)
	if status := client.End(addr, job); status != 200 {
		return fmt.Errorf("the end of job %s was answered with status %d", job, status)
	}
	o.noteEnd(job, time.Now())
	return nil
}
