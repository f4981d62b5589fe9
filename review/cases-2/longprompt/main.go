//go:build review

// Command longprompt serves online requests with long prompts, restarts the gateways in turn, has a batch job of items with
// such prompts accepted, and checks that each item of the job is listed when finish_s is over.
package main

import (
	"fmt"
	"syscall"
	"time"

	"arbutusramp/review/cases-2/rig"
)

const (
	finish = 18 * time.Second // finish_s of the rule
	due    = 18 * time.Second // due_ms of the route

	gateways   = 2
	runners    = 4
	slots      = 8
	items      = 10
	promptSize = 60_000 // tokens; the runners have memory for 97,512
	outputSize = 200
	maxQueued  = 7_700_000

	host    = "digest.example"
	path    = "/digest/1"
	service = "quote-llm"

	warmStreams  = 6 // online requests for each gateway, with the same prompts
	stableWindow = 4 * time.Second
	timeLimit    = 5 * time.Second
	jobID        = "job0"
	stopLimit    = 8 * time.Second // grace_s
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
	time.Sleep(stableWindow)
	client := rig.NewClient(host, record, timeLimit+time.Second)
	if err := warmUp(s, client); err != nil {
		return 0, err
	}
	if rig.IsTroubled() {
		if err := restartInTurn(s); err != nil {
			return 0, err
		}
	}
	list := rig.Items(jobID, path, items, promptSize, outputSize)
	if status := client.Submit(s.Gateways[0].Callers, path, jobID, list); status != 202 {
		return 0, fmt.Errorf("the job was answered with status %d", status)
	}
	expected := make(map[string][]string)
	for _, item := range list {
		expected[jobID] = append(expected[jobID], item.ID)
	}
	time.Sleep(due + finish)
	return rig.JudgeFinish(s, client, runs, expected, func(string) int { return outputSize })
}

// start starts the runners and the gateways.
func start(s *rig.System, runs *rig.ItemRuns) error {
	config := rig.Config(1, rig.BatchRoute("digest", host, "/digest/", service, maxQueued), rig.StreamRoute("explain", host, "/explain/", service))
	if err := s.PutConfig(config); err != nil {
		return err
	}
	for i := range runners {
		r := &rig.Runner{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "doto-a", Slots: slots, Engine: rig.KairikuEngine, OnReached: runs.NoteReached, OnRun: runs.NoteRun, OnLeft: runs.NoteLeft}
		if err := s.StartRunner(r); err != nil {
			return err
		}
	}
	for i := range gateways {
		if _, err := s.AddGateway(fmt.Sprintf("front-%d", i), "doto-a"); err != nil {
			return err
		}
	}
	return s.AwaitReady(20 * time.Second)
}

// warmUp sends online requests with the same prompts to each gateway.
func warmUp(s *rig.System, client *rig.Client) error {
	for i := range warmStreams {
		for j, g := range s.Gateways {
			id := fmt.Sprintf("online-%d-%d", j, i)
			if status, _ := client.Stream(g.Callers, "/explain/1", id, promptSize, 30, timeLimit); status != 200 {
				return fmt.Errorf("request %s was answered with status %d", id, status)
			}
		}
	}
	return nil
}

// restartInTurn stops each gateway with SIGTERM and starts it again.
func restartInTurn(s *rig.System) error {
	for _, g := range s.Gateways {
		s.Record.Add("SIGTERM of %s", g.Name)
		g.Signal(syscall.SIGTERM)
		for began := time.Now(); !g.HasEnded(); time.Sleep(20 * time.Millisecond) {
			if time.Since(began) > stopLimit {
				return fmt.Errorf("gateway %s has not ended after %v", g.Name, stopLimit)
			}
		}
		if err := g.Start(); err != nil {
			return err
		}
		if err := s.AwaitReady(20 * time.Second); err != nil {
			return err
		}
		s.Record.Add("%s is ready again", g.Name)
	}
	return nil
}
