package entry

import (
	"testing"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Guards against a status of a side that is none of an answer and reaches a caller: fasthttp sends 200 in place of 0.
func TestStatusOfSideIsChecked(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 600} {
		c := &call{target: &target{id: "a"}, head: &structs.Head{Status: status}}
		if err := setHead(&fasthttp.RequestCtx{}, c); err == nil || err.Type != errs.BadFrame || err.Ran != errs.RanUnknown {
			t.Errorf("status %d: error %v, want bad_frame that may have run", status, err)
		}
	}
}
