package gateway

import (
	"time"

	"arbutusramp/core/errs"
)

// takeQuota takes one request from the quota of the caller's workspace. A caller without a workspace has no
// quota. Error: errs.RateLimited.
func (x *exchange) takeQuota() error {
	name := x.req.Caller.Workspace
	if name == "" {
		return nil
	}
	d := x.gw.quotas.Admit(name)
	if d.IsAdmitted {
		x.hasQuota, x.isNearLimit = true, d.IsNearLimit
		return nil
	}
	x.gw.shedLog.Info(time.Now(), "quota", "request", x.req.ID, "workspace", name, "verdict", "reject", "tokens", d.Tokens,
		"share", d.Share, "retry_after_ms", d.RetryAfter.Milliseconds())
	return errs.New(errs.RateLimited, "the workspace exceeds its request quota").WithRetry(d.RetryAfter)
}

// recheckKey authorizes the request again before it is sent to a target, because its key may have been
// revoked while it was queued. A request that a target may already have run continues: its caller was
// authorized on arrival.
func (x *exchange) recheckKey() error {
	if x.possibleRuns > 0 || !x.req.Credential.IsSet {
		return nil
	}
	_, err := x.gw.access.Authorize(x.route, x.req.Credential)
	return err
}
