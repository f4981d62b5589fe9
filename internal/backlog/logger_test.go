package backlog

import (
	"os"

	"github.com/hashicorp/go-hclog"
)

// testLogger returns a logger that discards its lines, unless the environment variable BACKLOG_LOG is set.
func testLogger(name string) hclog.Logger {
	if os.Getenv("BACKLOG_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: os.Stderr, Level: hclog.Info})
}
