package watch

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
	"arbutusramp/core/workspace"
)

const (
	// staleRetryAfter is the retry delay for a caller whose key this gateway cannot verify, because it has not
	// reached the store for too long. The next attempt of the caller reaches another gateway.
	staleRetryAfter = 50 * time.Millisecond
	// staleRetryAfterWithPeers is the retry delay of such a caller while this gateway still reaches other
	// gateways: the fault that separates it from the store is then likely to affect the others as well.
	staleRetryAfterWithPeers = 500 * time.Millisecond
)

// Authorize returns the caller that sent a request with this credential. route is nil for calls about batch
// jobs, whose callers are also checked against the job. Authorize must be called after the request has arrived,
// since it relies on the configuration as confirmed at the time of the call. Errors: errs.Unauthenticated for a
// missing, malformed or unknown key; errs.ConfigStale if the key cannot be verified because the configuration
// was confirmed too long ago; errs.NoTarget while no configuration is known.
func (w *Watch) Authorize(route *serving.Route, credential workspace.Credential) (serving.Caller, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	switch {
	case w.config == nil:
		return serving.Caller{}, errs.New(errs.NoTarget, "no configuration has been read yet").WithRetry(noConfigRetryAfter)
	case !w.config.KeysRequired:
		return serving.Caller{}, nil
	case route != nil && route.IsPublic:
		return w.identifyPublicCaller(credential), nil
	case credential.Err != nil:
		return serving.Caller{}, credential.Err
	case !credential.IsSet && route == nil:
		return serving.Caller{IsUnidentified: true}, nil
	case !credential.IsSet:
		return serving.Caller{}, workspace.MissingKey()
	}
	return w.identifyKeyHolder(credential)
}

// identifyPublicCaller returns the caller of a public route, which requires no key. The request of a caller
// whose key is invalid or cannot be verified counts as one without a key. The caller of the method holds w.mu.
func (w *Watch) identifyPublicCaller(credential workspace.Credential) serving.Caller {
	if credential.Err != nil || !credential.IsSet {
		return serving.Caller{}
	}
	caller, err := w.identifyKeyHolder(credential)
	if err != nil {
		return serving.Caller{}
	}
	return caller
}

// identifyKeyHolder returns the workspace that holds the key in credential. Errors: errs.ConfigStale if the
// configuration was confirmed too long ago; errs.Unauthenticated if no workspace holds the key. The caller of
// the method holds w.mu.
func (w *Watch) identifyKeyHolder(credential workspace.Credential) (serving.Caller, error) {
	now := w.clock()
	if !w.proof.IsFresh(now) {
		age, _ := w.proof.Age(now)
		return serving.Caller{}, errs.Newf(errs.ConfigStale, "version %d of the configuration was last confirmed %d ms ago; keys may have been revoked since then",
			w.config.Version, age.Milliseconds()).WithRetry(w.chooseStaleRetry())
	}
	holder, ok := w.workspaces.ByKey(credential.Key)
	if !ok {
		return serving.Caller{}, errs.Newf(errs.Unauthenticated, "the API key is not in version %d of the configuration", w.config.Version)
	}
	return serving.Caller{Workspace: holder.Name, Rank: holder.Rank}, nil
}

// chooseStaleRetry returns the retry delay for a request that is rejected with errs.ConfigStale.
func (w *Watch) chooseStaleRetry() time.Duration {
	if w.view.LivePeerCount() > 0 {
		return staleRetryAfterWithPeers
	}
	return staleRetryAfter
}

// IsStale reports whether this gateway has not reached the store for so long that it soon cannot verify keys,
// so that callers should use another gateway. It is false if the configuration requires no keys.
func (w *Watch) IsStale() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.config != nil && w.config.KeysRequired && w.proof.IsExpiring(w.clock())
}
