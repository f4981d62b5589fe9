//go:build review

// Command brokenanswer has batch jobs run at a service with one runner, which breaks off one of its answers, and checks
// that each item of the jobs is listed when finish_s is over.
package main

import (
	"fmt"
	"sync"
	"time"

	"arbutusramp/review/cases-2/rig"
)

const (
	finish = 18 * time.Second // finish_s of the rule
	due    = 18 * time.Second // due_ms of the route

	gateways   = 2
	slots      = 8
	jobs       = 4
	itemsOfJob = 10
	promptSize = 350 // tokens
	outputSize = 306
	maxQueued  = 2_200_000
	breakAt    = 100 // event in which the answer breaks off

	host    = "notes.example"
	path    = "/notes/1"
	service = "drafting-llm"

	stableWindow = 3 * time.Second
	timeLimit    = 4 * time.Second
)

func main() { rig.Main(run) }

// breaker breaks off one answer: the first that gets as far as breakAt.
type breaker struct {
	runs *rig.ItemRuns

	mu       sync.Mutex
	hasBroke bool
}

func (b *breaker) breaksOff(item string, event int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasBroke || event != breakAt || !rig.IsTroubled() {
		return false
	}
	b.hasBroke = true
	b.runs.NoteFailed(item)
	return true
}

func run(record *rig.Record) (int, error) {
	s, err := rig.NewSystem(record)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runs := rig.NewItemRuns(record)
	if err := start(s, runs); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow + time.Second)
	client := rig.NewClient(host, record, timeLimit)
	expected := make(map[string][]string)
	for i := range jobs {
		job := fmt.Sprintf("job%d", i)
		list := rig.Items(job, path, itemsOfJob, promptSize, outputSize)
		for _, item := range list {
			expected[job] = append(expected[job], item.ID)
		}
		if status := client.Submit(s.Gateways[i%gateways].Callers, path, job, list); status != 202 {
			return 0, fmt.Errorf("job %s was answered with status %d", job, status)
		}
	}
	time.Sleep(due + finish)
	return rig.JudgeFinish(s, client, runs, expected, func(string) int { return outputSize })
}

// start starts the runner and the gateways.
func start(s *rig.System, runs *rig.ItemRuns) error {
	if err := s.PutConfig(rig.Config(1, rig.BatchRoute("notes", host, "/notes/", service, maxQueued))); err != nil {
		return err
	}
	r := &rig.Runner{
		ID: "i-0", Service: service, Zone: "hall-forth", Slots: slots, Engine: rig.KelpieEngine,
		OnReached: runs.NoteReached, OnRun: runs.NoteRun, OnLeft: runs.NoteLeft, BreaksOff: (&breaker{runs: runs}).breaksOff,
	}
	if err := s.StartRunner(r); err != nil {
		return err
	}
	for i := range gateways {
		if _, err := s.AddGateway(fmt.Sprintf("front-%d", i), "hall-forth"); err != nil {
			return err
		}
	}
	return s.AwaitReady(20 * time.Second)
}
