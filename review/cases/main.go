//go:build review

// Command cases plays the cases of the review: cases NAME RECORD. It is started in the root of the repository. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"arbutusramp/review/stand"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one play of a case.
type play struct {
	record    *stand.Record
	dir       string // for settings and logs
	isTrouble bool   // the disruption takes place
	broken    []string
}

// addBroken notes that the rule was broken.
func (p *play) addBroken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.broken = append(p.broken, text)
	p.record.Addf("RULE BROKEN: %s", text)
}

// plays are the cases by name. The file of each case adds its own.
var plays = make(map[string]func(*play) error)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitNotRun
	}
	record, err := stand.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are kept in", dir)
	}
	p := &play{record: record, dir: dir, isTrouble: os.Getenv("TROUBLE") != "0"}
	if err := plays[os.Args[1]](p); err != nil {
		record.Addf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	for _, text := range p.broken {
		fmt.Println("rule broken:", text)
	}
	if len(p.broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
