package watch

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
)

const (
	// staleRetryAfter is the retry delay for a caller rejected because the configuration of this gateway is
	// too old. Its next attempt reaches another gateway.
	staleRetryAfter = 50 * time.Millisecond
	// staleRetryAfterWithPeers is the same while peers are alive: the fault that separates this gateway
	// from the store is then likely to affect them as well.
	staleRetryAfterWithPeers = 500 * time.Millisecond
)

// Authorize returns the caller that sent a request. route is nil for calls about batch jobs, whose callers
// are checked against the job. Authorize must be called after the request has arrived, since it relies on
// the configuration as confirmed at the time of the call. Errors: errs.Unauthenticated; errs.ConfigStale;
// errs.NoTarget while no configuration is known.
func (w *Watch) Authorize(route *serving.Route, c workspace.Credential) (serving.Caller, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	switch {
	case w.config == nil:
		return serving.Caller{}, errs.New(errs.NoTarget, "no configuration has been read yet").WithRetry(noConfigRetryAfter)
	case !w.config.KeysRequired:
		return serving.Caller{}, nil
	case route != nil && route.IsPublic:
		return w.identifyPublicCaller(c), nil
	case c.Err != nil:
		return serving.Caller{}, c.Err
	case !c.IsSet && route == nil:
		return serving.Caller{IsUnidentified: true}, nil
	case !c.IsSet:
		return serving.Caller{}, workspace.MissingKey()
	}
	return w.identifyKeyHolder(c)
}

// identifyPublicCaller returns the caller of a public route, which requires no key. A key that is invalid
// or cannot be verified counts as none. The caller holds w.mu.
func (w *Watch) identifyPublicCaller(c workspace.Credential) serving.Caller {
	if c.Err != nil || !c.IsSet {
		return serving.Caller{}
	}
	caller, err := w.identifyKeyHolder(c)
	if err != nil {
		return serving.Caller{}
	}
	return caller
}

// identifyKeyHolder returns the workspace that holds a key. Errors: errs.ConfigStale, errs.Unauthenticated.
// The caller holds w.mu.
func (w *Watch) identifyKeyHolder(c workspace.Credential) (serving.Caller, error) {
	now := w.clock()
	if !w.proof.Holds(now) {
		age, _ := w.proof.Age(now)
		return serving.Caller{}, errs.Newf(errs.ConfigStale, "version %d of the configuration was last confirmed %d ms ago; keys may have been revoked since then",
			w.config.Version, age.Milliseconds()).WithRetry(w.chooseStaleRetry())
	}
	found, ok := w.workspaces.ByKey(c.Key)
	if !ok {
		return serving.Caller{}, errs.Newf(errs.Unauthenticated, "the API key is not in version %d of the configuration", w.config.Version)
	}
	return serving.Caller{Workspace: found.Name, Rank: found.Rank}, nil
}

// chooseStaleRetry returns the retry delay for a rejection with errs.ConfigStale.
func (w *Watch) chooseStaleRetry() time.Duration {
	if w.view.Peers() > 0 {
		return staleRetryAfterWithPeers
	}
	return staleRetryAfter
}

// IsStale reports whether keys can soon no longer be verified, so that callers should use another gateway.
func (w *Watch) IsStale() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.config != nil && w.config.KeysRequired && w.proof.IsFailing(w.clock())
}
