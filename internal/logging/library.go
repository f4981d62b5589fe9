package logging

import (
	"bytes"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxLibraryLine bounds a line of a library in bytes. The HTTP client quotes up to 4 KB that a connection has brought while
// no request was on it.
const maxLibraryLine = 256

// LibraryWriter is a writer for package log, to which libraries write. Their lines are bounded like others, and never block:
// a library writes them where it reads connections.
type LibraryWriter struct{ lines *Routine }

// NewLibraryWriter returns a LibraryWriter whose lines go to log.
func NewLibraryWriter(log hclog.Logger) *LibraryWriter { return &LibraryWriter{NewRoutine(log)} }

// Write implements io.Writer for one line.
func (w *LibraryWriter) Write(p []byte) (int, error) {
	line := bytes.TrimSpace(p)
	w.lines.Info(time.Now(), "library", "line", string(line[:min(len(line), maxLibraryLine)]))
	return len(p), nil
}
