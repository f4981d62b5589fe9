package scheduling

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"arbutusramp/core/fleet"
)

// Print writes the state as three tables: targets, services, workspaces. A value that is not known is "-".
func Print(w io.Writer, s fleet.Scheduling) error {
	p := &printer{out: w}
	p.table("TARGET\tSERVICE\tSTATE\tSLOWNESS\tPACE\tWAIT ms\tONLINE\tBATCH\tSLOTS\tAGE ms", func(row func(values ...any)) {
		for _, t := range s.Targets {
			row(t.ID, t.Service, t.State, t.Slowness, t.Pace, t.WaitMs, t.Online, t.Batch, t.Slots, known(t.Runs > 0, t.AgeMs))
		}
	}, s.TargetsLeftOut, "targets")
	p.table("\nSERVICE\tTARGETS\tSLOTS\tONLINE\tBATCH\tMEAN\tSWING\tPERIOD ms\tIN 1 s\tWAIT ms\tHOLD ms\tOVERLOAD", func(row func(values ...any)) {
		for _, v := range s.Services {
			aware := v.IsCostAware
			row(v.Service, v.Targets, v.Slots, v.Online, v.Batch, known(aware, v.Mean), known(aware, v.Swing), known(v.PeriodMs > 0, v.PeriodMs), known(aware, v.Forecast),
				v.WaitMs, known(v.HoldMs > 0, v.HoldMs), overload(v))
		}
	}, s.ServicesLeftOut, "services")
	workspacesLeftOut := 0
	p.table("\nWORKSPACE\tSERVICE\tSHARE\tUSE\tLENT\tOFFERED\tREJECTED\tOVER SHARE", func(row func(values ...any)) {
		for _, v := range s.Services {
			workspacesLeftOut += v.WorkspacesLeftOut
			for _, ws := range v.Workspaces {
				row(ws.Workspace, v.Service, ws.Share, ws.Use, ws.Lent, ws.Offered, ws.Rejected, ws.IsOverShare)
			}
		}
	}, 0, "")
	p.leftOut(workspacesLeftOut, "workspaces")
	return errors.Wrap(p.err, "print")
}

// known returns a value, or "-" if it is not known.
func known(isKnown bool, value any) any {
	if !isKnown {
		return "-"
	}
	return value
}

// overload describes the overload of a service.
func overload(s fleet.ServiceState) string {
	if !s.IsOverloaded {
		return "no"
	}
	return fmt.Sprintf("%d ms, by %s", s.OverloadMs, s.OverloadSource)
}

// printer keeps the first error of several writes.
type printer struct {
	out io.Writer
	err error
}

// table writes a heading and the rows that fill passes to row, aligned, and how many rows are left out.
func (p *printer) table(heading string, fill func(row func(values ...any)), leftOut int, what string) {
	t := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	p.keep(fmt.Fprintln(t, heading))
	fill(func(values ...any) {
		for i, v := range values {
			if i > 0 {
				p.keep(fmt.Fprint(t, "\t"))
			}
			p.keep(fmt.Fprint(t, v))
		}
		p.keep(fmt.Fprintln(t))
	})
	p.keep(0, t.Flush())
	p.leftOut(leftOut, what)
}

func (p *printer) leftOut(n int, what string) {
	if n > 0 {
		p.keep(fmt.Fprintf(p.out, "%d more %s left out\n", n, what))
	}
}

func (p *printer) keep(_ int, err error) {
	if p.err == nil {
		p.err = err
	}
}
