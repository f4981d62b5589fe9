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

// Reloader reloads the settings file of a running process and applies the settings that need no restart: keys,
// certificates and the log level. It is safe for concurrent use.
type Reloader struct {
	load func() (reloadedSettings, error) // reads the settings file
	keys *keyring.Keyring                 // keys and certificates of the process
	log  hclog.Logger

	mu    sync.Mutex // one Reload at a time
	level string     // log level of the last load

	reloads, failures metrics.Counter
}

// reloadedSettings is the part of a reloaded settings file that a Reloader uses.
type reloadedSettings struct {
	values      keyring.Values
	level       string
	restartKeys []string // keys of changed settings that need a restart
}

// NewEntryReloader returns the Reloader of e, which was started with s from the file at path.
func NewEntryReloader(path string, s settings.Entry, e *entry.Entry, logger hclog.Logger, reg metrics.Registry) *Reloader {
	return newReloader(e.Keys(), s.Logs.Level, logger, reg, func() (reloadedSettings, error) {
		current, err := settings.LoadEntry(path)
		if err != nil {
			return reloadedSettings{}, err
		}
		values, err := keyring.EntryValues(current)
		return reloadedSettings{values, current.Logs.Level, settings.EntryRestart(s, current)}, err
	})
}

// NewSideReloader returns the Reloader of process, which was started with s from the file at path.
func NewSideReloader(path string, s settings.Side, process *side.Side, logger hclog.Logger, reg metrics.Registry) *Reloader {
	return newReloader(process.Keys(), s.Logs.Level, logger, reg, func() (reloadedSettings, error) {
		current, err := settings.LoadSide(path)
		return reloadedSettings{keyring.SideValues(current), current.Logs.Level, settings.SideRestart(s, current)}, err
	})
}

// newReloader returns a Reloader of keys that was started with log level level.
func newReloader(keys *keyring.Keyring, level string, logger hclog.Logger, reg metrics.Registry, load func() (reloadedSettings, error)) *Reloader {
	return &Reloader{
		load:     load,
		keys:     keys,
		log:      logger,
		level:    level,
		reloads:  metrics.GetOrRegisterCounter("settings.reloads", reg),
		failures: metrics.GetOrRegisterCounter("settings.reload_failures", reg),
	}
}

// Reload reads the settings file again and applies the settings that need no restart. A file with errors changes
// nothing, and each error is logged on its own line. Changed settings that need a restart are logged. Error:
// errs.BadSettings.
func (r *Reloader) Reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, err := r.load()
	if err != nil {
		return r.recordFailure(err)
	}
	changed, err := r.keys.Replace(current.values)
	if err != nil {
		return r.recordFailure(err)
	}
	if current.level != r.level {
		changed = append(changed, "log level "+current.level+" in place of "+r.level)
		r.level = current.level
		r.log.SetLevel(hclog.LevelFromString(current.level))
	}
	r.log.Info("audit", "act", "reload", "outcome", "ok", "changed", strings.Join(changed, "; "))
	if len(current.restartKeys) > 0 {
		r.log.Warn("settings differ that need a restart", "keys", strings.Join(current.restartKeys, ", "))
	}
	r.reloads.Inc(1)
	return nil
}

// recordFailure logs and counts a failed reload, and returns err.
func (r *Reloader) recordFailure(err error) error {
	for line := range strings.Lines(errs.As(err).Detail) {
		r.log.Error("reload failed; settings unchanged", "fault", strings.TrimSpace(line))
	}
	r.log.Info("audit", "act", "reload", "outcome", string(errs.As(err).Type))
	r.failures.Inc(1)
	return err
}
