// Package logging makes the logger of a process from its settings.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/internal/settings"
)

// New returns a logger called name that writes to w as l says.
func New(name string, l settings.Logs, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     w,
	})
}
