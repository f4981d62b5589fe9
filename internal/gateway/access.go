package gateway

import (
	"time"

	"arbutusramp/core/errs"
)

// takeQuota takes one request from the quota of the caller's workspace. A caller without a workspace is not
// limited by a quota. Error: errs.RateLimited.
func (x *exchange) takeQuota() error {
	workspaceID := x.req.Caller.Workspace
	if workspaceID == "" {
		return nil
	}
	decision := x.gw.quotas.Admit(workspaceID)
	if decision.IsAdmitted {
		x.hasTakenQuota, x.isNearQuota = true, decision.IsNearLimit
		return nil
	}
	x.gw.shedLog.Info(time.Now(), "quota", "request", x.req.ID, "workspace", workspaceID, "verdict", "reject", "tokens", decision.Tokens,
		"share", decision.Share, "retry_after_ms", decision.RetryAfter.Milliseconds())
	return errs.New(errs.RateLimited, "the workspace exceeds its request quota").WithRetry(decision.RetryAfter)
}

// recheckKey authorizes the request again before it is sent to a target, because the caller's API key may have
// been revoked while the request was queued. A request that a target may already have run is not checked
// again: its caller was authorized on arrival.
func (x *exchange) recheckKey() error {
	if x.possibleRuns > 0 || !x.req.Credential.IsSet {
		return nil
	}
	_, err := x.gw.access.Authorize(x.route, x.req.Credential)
	return err
}
