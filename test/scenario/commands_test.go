package scenario

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	startTimeout = 20 * time.Second
	pollEvery    = 20 * time.Millisecond
)

// addrs FILE PREFIX waits for an address file and sets PREFIX_NAME for each of its
// NAME=ADDR lines.
func addrs(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: addrs FILE PREFIX")
	}
	for name, value := range readAddrs(ts, args[0]) {
		ts.Setenv(args[1]+"_"+name, value)
	}
}

func readAddrs(ts *testscript.TestScript, file string) map[string]string {
	path := ts.MkAbs(file)
	deadline := time.Now().Add(startTimeout)
	for {
		data, err := os.ReadFile(path)
		if err == nil {
			return parseAddrs(string(data))
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no %s after %s", file, startTimeout)
		}
		time.Sleep(pollEvery)
	}
}

func parseAddrs(text string) map[string]string {
	found := make(map[string]string)
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		if ok {
			found[name] = value
		}
	}
	return found
}

// render SRC DST copies a file with $NAME and ${NAME} replaced from the environment.
func render(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: render SRC DST")
	}
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// signalCommand returns a command NAME FILE that sends sig to the process that wrote the
// address file. The script language's own kill knows INT and KILL only.
func signalCommand(sig syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) != 1 {
			ts.Fatalf("want one address file")
		}
		pid, err := strconv.Atoi(readAddrs(ts, args[0])["PID"])
		ts.Check(err)
		ts.Check(syscall.Kill(pid, sig))
	}
}

// jobfile FILE N writes a job of N items.
func jobfile(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: jobfile FILE N")
	}
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions",`, i)
		fmt.Fprintf(&b, `"body":{"model":"m1","messages":[{"role":"user","content":"case %d"}],"max_tokens":4}}`+"\n", i)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(b.String()), 0o600))
}

// capture FILE REGEXP NAME sets NAME to the first group of the first match.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: capture FILE REGEXP NAME")
	}
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	match := re.FindStringSubmatch(ts.ReadFile(args[0]))
	if len(match) < 2 {
		ts.Fatalf("%s does not match", args[1])
	}
	ts.Setenv(args[2], match[1])
}
