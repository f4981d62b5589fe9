package command

import (
	"os"
	"runtime/pprof"

	"arbutusramp/core/errs"
)

// startProfile writes a CPU profile to path until the returned function is called. No
// path does nothing. Error: errs.BadRequest.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errs.New(errs.BadRequest, err.Error())
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errs.New(errs.BadRequest, err.Error())
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}
