package node

import (
	"strings"
	"sync"

	"arbutusramp/core/errs"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Reloader reads the settings file of a running process again and puts into force what needs no
// restart: keys, certificates and the log level.
type Reloader struct {
	read func() (reread, error)
	keys *keyring.Keyring
	log  hclog.Logger

	mu    sync.Mutex // one Reload at a time
	level string

	reloads, failures metrics.Counter
}

// reread is a settings file as read again.
type reread struct {
	values  keyring.Values
	level   string
	restart []string // keys that differ and need a restart
}

// NewEntryReloader returns the Reloader of e, which was started with s from the file path.
func NewEntryReloader(path string, s settings.Entry, e *entry.Entry, logger hclog.Logger, reg metrics.Registry) *Reloader {
	return newReloader(e.Keys(), s.Logs.Level, logger, reg, func() (reread, error) {
		now, err := settings.LoadEntry(path)
		if err != nil {
			return reread{}, err
		}
		values, err := keyring.EntryValues(now)
		return reread{values, now.Logs.Level, settings.EntryRestart(s, now)}, err
	})
}

// NewSideReloader returns the Reloader of p, which was started with s from the file path.
func NewSideReloader(path string, s settings.Side, p *side.Side, logger hclog.Logger, reg metrics.Registry) *Reloader {
	return newReloader(p.Keys(), s.Logs.Level, logger, reg, func() (reread, error) {
		now, err := settings.LoadSide(path)
		return reread{keyring.SideValues(now), now.Logs.Level, settings.SideRestart(s, now)}, err
	})
}

func newReloader(keys *keyring.Keyring, level string, logger hclog.Logger, reg metrics.Registry, read func() (reread, error)) *Reloader {
	return &Reloader{
		read:     read,
		keys:     keys,
		log:      logger,
		level:    level,
		reloads:  metrics.GetOrRegisterCounter("settings.reloads", reg),
		failures: metrics.GetOrRegisterCounter("settings.reload_failures", reg),
	}
}

// Reload reads the file again. A file with a fault changes nothing; each of its faults is
// logged as a line. What differs and needs a restart is named. Error: errs.BadSettings.
func (r *Reloader) Reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, err := r.read()
	if err != nil {
		return r.failed(err)
	}
	changed, err := r.keys.Replace(now.values)
	if err != nil {
		return r.failed(err)
	}
	if now.level != r.level {
		changed = append(changed, "log level "+now.level+" in place of "+r.level)
		r.level = now.level
		r.log.SetLevel(hclog.LevelFromString(now.level))
	}
	r.log.Info("audit", "act", "reload", "outcome", "ok", "changed", strings.Join(changed, "; "))
	if len(now.restart) > 0 {
		r.log.Warn("settings differ that need a restart", "keys", strings.Join(now.restart, ", "))
	}
	r.reloads.Inc(1)
	return nil
}

func (r *Reloader) failed(err error) error {
	for line := range strings.Lines(errs.As(err).Detail) {
		r.log.Error("settings not read again; nothing has changed", "fault", strings.TrimSpace(line))
	}
	r.log.Info("audit", "act", "reload", "outcome", string(errs.As(err).Type))
	r.failures.Inc(1)
	return err
}
