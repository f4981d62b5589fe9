package watch

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// link logs a dependency once when it is lost and once when it is back.
type link struct {
	log  hclog.Logger
	name string
	down time.Time // since when; zero while it is up
	ever bool      // it has answered before
}

func newLink(log hclog.Logger, name string) *link { return &link{log: log, name: name} }

func (l *link) lost(err error) {
	if !l.down.IsZero() {
		return
	}
	l.down = time.Now()
	l.log.Warn("dependency lost", "dependency", l.name, "error", err)
}

// up notes an answer. It reports whether the dependency was lost before and is back now.
func (l *link) up() bool {
	wasDown := !l.down.IsZero()
	if wasDown {
		l.log.Info("dependency back", "dependency", l.name, "away_ms", time.Since(l.down).Milliseconds())
	}
	if !l.ever {
		l.log.Info("dependency reached", "dependency", l.name)
	}
	back := wasDown && l.ever
	l.down = time.Time{}
	l.ever = true
	return back
}
