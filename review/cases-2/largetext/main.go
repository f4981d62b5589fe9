//go:build review

// Command largetext has an item with an output of more than call_bytes run, and then many small jobs, and checks that each
// item is listed when finish_s is over.
package main

import (
	"fmt"
	"time"

	"arbutusramp/review/cases-2/rig"
)

const (
	finish = 18 * time.Second // finish_s of the rule
	due    = 18 * time.Second // due_ms of the route

	gateways   = 2
	runners    = 3
	slots      = 8
	jobs       = 16 // small jobs
	itemsOfJob = 2
	promptSize = 350 // tokens
	outputSize = 306
	maxQueued  = 2_200_000
	eventBytes = 390

	largeJob    = "job-large"
	largeOutput = 5_600 // tokens; a text of 2.2 MB
	largeTime   = 20 * time.Second

	host    = "notes.example"
	path    = "/notes/1"
	service = "drafting-llm"

	stableWindow = 3 * time.Second
	timeLimit    = 4 * time.Second
)

func main() { rig.Main(run) }

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
	submit := func(job string, count, output int) error {
		list := rig.Items(job, path, count, promptSize, output)
		for _, item := range list {
			expected[job] = append(expected[job], item.ID)
		}
		if status := client.Submit(s.Gateways[0].Callers, path, job, list); status != 202 {
			return fmt.Errorf("job %s was answered with status %d", job, status)
		}
		return nil
	}
	if err := submit(largeJob, 1, sizeOf(largeJob)); err != nil {
		return 0, err
	}
	time.Sleep(largeTime)
	for i := range jobs {
		job := fmt.Sprintf("job%02d", i)
		if err := submit(job, itemsOfJob, sizeOf(job)); err != nil {
			return 0, err
		}
	}
	time.Sleep(due + finish)
	return rig.JudgeFinish(s, client, runs, expected, sizeOf)
}

// sizeOf returns the number of output tokens of the items of a job.
func sizeOf(job string) int {
	if job == largeJob && rig.IsTroubled() {
		return largeOutput
	}
	return outputSize
}

// start starts the runners and the gateways.
func start(s *rig.System, runs *rig.ItemRuns) error {
	if err := s.PutConfig(rig.Config(1, rig.BatchRoute("notes", host, "/notes/", service, maxQueued))); err != nil {
		return err
	}
	for i := range runners {
		r := &rig.Runner{
			ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "hall-forth", Slots: slots, Engine: rig.KelpieEngine, EventBytes: eventBytes,
			OnReached: runs.NoteReached, OnRun: runs.NoteRun, OnLeft: runs.NoteLeft,
		}
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
