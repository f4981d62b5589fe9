package plan

import (
	"fmt"
	"strings"
)

// Text returns p as lines for an operator.
func (p *Plan) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s by %s from version %d\n", p.ID, p.Operator, p.Base)
	for n, s := range p.Steps {
		fmt.Fprintf(&b, "%3d. %s\n", n+1, s.text())
	}
	fmt.Fprintf(&b, "costs: %s\n", p.Cost.text())
	c := p.Capacity
	fmt.Fprintf(&b, "capacity: %s now, %s meanwhile, %s after\n", c.Now.text(), c.Meanwhile.text(), c.After.text())
	for _, w := range p.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", w)
	}
	return b.String()
}

func (s Step) text() string {
	t := s.Action + " " + s.Object
	if s.Target != "" {
		t += " at " + string(s.Target)
	}
	if s.Bytes > 0 {
		t += fmt.Sprintf(", %d bytes", s.Bytes)
	}
	if s.Seconds > 0 {
		t += fmt.Sprintf(", %.1f s", s.Seconds)
	}
	if s.Online > 0 || s.Items > 0 {
		t += fmt.Sprintf(", touches %d requests and %d items", s.Online, s.Items)
	}
	if s.Detail != "" {
		t += " (" + s.Detail + ")"
	}
	return t
}

func (c Cost) text() string {
	t := fmt.Sprintf("%d bytes from the weight store in %.1f s or more, %d requests and %d items touched", c.Bytes, c.Seconds, c.Online, c.Items)
	if c.Unknown > 0 {
		t += fmt.Sprintf(", %d loads of unknown size", c.Unknown)
	}
	return t
}

func (r Room) text() string {
	return fmt.Sprintf("%d targets with room for %d requests", r.Targets, r.Requests)
}
