package entry

import (
	"cmp"
	"time"

	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// homeByKey returns the one target that may run a keyed non-idempotent call.
// Errors: errs.NoTarget, errs.KeyUnverifiable.
func (e *Entry) homeByKey(c *call, now time.Time) (structs.TargetID, *errs.Error) {
	if fresh := e.parts.ConfigFresh; fresh != nil && !fresh() {
		return "", errs.New(errs.KeyUnverifiable,
			"this entry's configuration is old; which target knows the key is not certain").WithRetry(retryHome)
	}
	window := cmp.Or(e.set.KeyWindow, dedup.DefaultWindow)
	id, err := dedup.Home(c.in.workspace, c.in.key, c.req.service,
		e.config.Current().Targets, now.UnixMilli(), window)
	if err != nil {
		return "", errs.As(err)
	}
	return id, nil
}
