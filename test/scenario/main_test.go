// Package scenario runs the binaries and the stand-ins as separate processes, by
// scripts in testdata.
package scenario

import (
	"os"
	"testing"

	"arbutusramp/internal/command"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"arbutusramp": func() { os.Exit(command.Ramp()) },
		"arbutusctl":  func() { os.Exit(command.Ctl()) },
		"curl":        func() { os.Exit(curl(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addrs":  addrs,
			"render": render,
			"term":   term,
		},
		RequireExplicitExec: true,
	})
}
