package entry

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// homeFunc returns the one target that may run a keyed non-idempotent call.
type homeFunc func(c *call, now time.Time) (structs.TargetID, *errs.Error)
