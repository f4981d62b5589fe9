package command

import (
	"fmt"
	"os"
	"strings"

	"arbutusramp/core/errs"
	"github.com/pkg/errors"
)

// listenerAddr is the address that one listener has taken.
type listenerAddr struct {
	name, addr string
}

// writeAddrFile writes NAME=ADDR lines and the process id to path, for scripts that
// let the system choose free ports. No path writes nothing.
func writeAddrFile(path string, addrs []listenerAddr) error {
	if path == "" {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "PID=%d\n", os.Getpid())
	for _, a := range addrs {
		fmt.Fprintf(&b, "%s=%s\n", a.name, a.addr)
	}
	// Renamed into place: a reader that polls for the file would else now and
	// then see half of it.
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(errs.New(errs.Internal, err.Error()), "address file")
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Wrap(errs.New(errs.Internal, err.Error()), "address file")
	}
	return nil
}
