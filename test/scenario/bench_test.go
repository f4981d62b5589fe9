package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"arbutusramp/core/confstate"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"github.com/rogpeppe/go-internal/testscript"
)

// BenchmarkOverhead prints what entry and side add to a call:
//
//	go test ./test/scenario -run '^$' -bench Overhead -benchtime 1x
func BenchmarkOverhead(b *testing.B) {
	params := scriptParams("testdata/bench")
	params.Cmds["declare"] = declare
	params.Cmds["show"] = func(ts *testscript.TestScript, _ bool, args []string) {
		fmt.Print(ts.ReadFile(args[0])) // a benchmark's own log is cut at a few lines
	}
	for b.Loop() {
		testscript.RunT(benchT{b}, params)
	}
}

// benchT lets a benchmark run scripts, one after the other.
type benchT struct{ *testing.B }

func (t benchT) Parallel() {}

func (t benchT) Run(name string, f func(testscript.T)) { f(t) }

func (t benchT) Verbose() bool { return false }

// declare LOGURL FILE appends the intents of a JSON file to the configuration as one confirm.
func declare(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: declare LOGURL FILE")
	}
	var intents []structs.Intent
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &intents))
	record, err := confstate.EncodeConfirm(&structs.Confirm{Plan: args[1], Operator: "script", Intents: intents})
	ts.Check(err)
	_, err = loghttp.New(args[0]).Append(context.Background(), structs.ConfigStream, record)
	ts.Check(err)
}
