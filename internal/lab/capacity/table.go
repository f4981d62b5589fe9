package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown prints rows as tables, one for each role.
func WriteMarkdown(w io.Writer, rows []Row) error {
	var b strings.Builder
	role := ""
	for i := range rows {
		r := &rows[i]
		if r.Role != role {
			role = r.Role
			fmt.Fprintf(&b, "\n### %s\n\n", strings.ToUpper(role[:1])+role[1:])
			b.WriteString("| what | counts as | figure | budget | worked out from (used at; measured over) | mechanism |\n|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", r.What, r.Kind, figure(r), budget(r), uses(r.Uses), mechanism(r))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteBudgets prints the rows that have a budget, one column for each size.
func WriteBudgets(w io.Writer, names []string, columns [][]Row) error {
	var b strings.Builder
	b.WriteString("\n### Budgets at several sizes\n\n| role | what | budget | " + strings.Join(names, " | ") + " |\n|---|---|---|" + strings.Repeat("---|", len(names)) + "\n")
	for i := range columns[0] {
		first := &columns[0][i]
		if first.Budget == 0 {
			continue
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s |", first.Role, first.What, number(first.Budget), first.Unit)
		for _, rows := range columns {
			fmt.Fprintf(&b, " %s |", cell(rows, first))
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// cell is the figure of the row in rows that stands for like.
func cell(rows []Row, like *Row) string {
	for i := range rows {
		r := &rows[i]
		if r.Role == like.Role && r.What == like.What && r.Unit == like.Unit {
			if r.Missed() {
				return "**" + number(r.Value) + "**"
			}
			return number(r.Value)
		}
	}
	return ""
}

func figure(r *Row) string {
	text := strings.TrimSpace(number(r.Value) + " " + r.Unit)
	if r.Missed() {
		return "**" + text + "**"
	}
	return text
}

func budget(r *Row) string {
	switch {
	case r.Budget == 0:
		return ""
	case r.Missed():
		return fmt.Sprintf("**%s: missed %s times**", number(r.Budget), number(r.Value/r.Budget))
	}
	return number(r.Budget)
}

func mechanism(r *Row) string {
	if !r.Missed() || r.Change == "" {
		return r.Mechanism
	}
	return r.Mechanism + ". **To change:** " + r.Change
}

// beyondFrom is from where on a use counts as beyond the measured range.
const beyondFrom = 1.01

func uses(us []Use) string {
	parts := make([]string, 0, len(us))
	for _, u := range us {
		text := fmt.Sprintf("`%s` (%s; %s to %s %s", u.Slope, number(u.At), number(u.From), number(u.To), u.Over)
		if u.Beyond > beyondFrom {
			text += fmt.Sprintf(", %s times beyond", number(u.Beyond))
		}
		parts = append(parts, text+")")
	}
	return strings.Join(parts, "; ")
}

// number prints three digits that count.
func number(v float64) string {
	const million, thousand = 1e6, 1e3
	switch a := max(v, -v); {
	case a >= 100*million:
		return fmt.Sprintf("%.0f M", v/million)
	case a >= million:
		return fmt.Sprintf("%.3g M", v/million)
	case a >= thousand:
		return fmt.Sprintf("%d,%03d", int(v)/thousand, int(max(v, -v))%thousand)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
