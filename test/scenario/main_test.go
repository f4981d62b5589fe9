// Package scenario runs the binaries and the stand-ins as separate processes, by
// scripts in testdata.
package scenario

import (
	"os"
	"syscall"
	"testing"

	"arbutusramp/internal/command"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	commands := standinCommands()
	commands["arbutusramp"] = func() { os.Exit(command.Ramp()) }
	commands["arbutusctl"] = func() { os.Exit(command.Ctl()) }
	commands["curl"] = func() { os.Exit(curl(os.Args[1:], os.Stdout, os.Stderr)) }
	testscript.Main(m, commands)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, scriptParams("testdata"))
}

func scriptParams(dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"addrs":   addrs,
			"render":  render,
			"jobfile": jobfile,
			"capture": capture,
			"cert":    cert,
			"term":    signalCommand(syscall.SIGTERM),
			"hangup":  signalCommand(syscall.SIGHUP),
			"freeze":  signalCommand(syscall.SIGSTOP),
			"thaw":    signalCommand(syscall.SIGCONT),
			"slay":    signalCommand(syscall.SIGKILL),
		},
		Setup: func(env *testscript.Env) error {
			// The race detector lets every process sleep for a second at its end.
			env.Setenv("GORACE", "atexit_sleep_ms=50")
			return nil
		},
		RequireExplicitExec: true,
	}
}
