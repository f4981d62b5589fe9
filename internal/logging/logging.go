// Package logging makes the logger of a process from its settings.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/internal/settings"
)

// LeftOutMetric, with the kind of the lines appended, names the metrics of lines that were left out.
const LeftOutMetric = "log.left_out."

// New returns a logger called name that writes to w as l says.
func New(name string, l settings.Logs, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     w,
	})
}
