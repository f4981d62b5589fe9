// Package scenario runs the binaries and the stand-ins as separate processes, by
// scripts in testdata.
package scenario

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"arbutusramp/internal/command"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	commands := standinCommands()
	commands["arbutusramp"] = func() { os.Exit(command.Ramp()) }
	commands["arbutusctl"] = func() { os.Exit(command.Ctl()) }
	commands["calls"] = func() { os.Exit(calls(os.Args[1:], os.Stdout, os.Stderr)) }
	commands["curl"] = func() { os.Exit(curl(os.Args[1:], os.Stdout, os.Stderr)) }
	testscript.Main(m, commands)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, scriptParams("testdata"))
}

const commonDir = "testdata/common"

// copyCommon copies the files that scripts share to dir. A script's own files stay.
func copyCommon(dir string) error {
	files, err := os.ReadDir(commonDir)
	if err != nil {
		return err
	}
	for _, f := range files {
		to := filepath.Join(dir, f.Name())
		if _, err := os.Stat(to); err == nil {
			continue
		}
		data, err := os.ReadFile(filepath.Join(commonDir, f.Name()))
		if err != nil {
			return err
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			return err
		}
	}
	return nil
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
			"list":    list,
			"once":    once,
			"term":    signalCommand(syscall.SIGTERM),
			"hangup":  signalCommand(syscall.SIGHUP),
			"sigstop": signalCommand(syscall.SIGSTOP),
			"sigcont": signalCommand(syscall.SIGCONT),
			"sigkill": signalCommand(syscall.SIGKILL),
		},
		Setup: func(env *testscript.Env) error {
			// The race detector lets every process sleep for a second at its end.
			env.Setenv("GORACE", "atexit_sleep_ms=50")
			return copyCommon(env.WorkDir)
		},
		RequireExplicitExec: true,
	}
}
