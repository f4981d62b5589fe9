package settings

import (
	"fmt"
	"strings"
)

// Page returns docs/SETTINGS.md. A test compares the two.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Generated from the tables in internal/settings by `go test ./internal/settings -run TestPage -update`.\n\n")
	b.WriteString("Settings are INI: `[section]` lines and `key = value` lines; `#` or `;` starts a comment line,\n")
	b.WriteString("and a ` #` or ` ;` after a value starts a comment. An unknown section or key, a key that is set twice and a\n")
	b.WriteString("value that is not allowed are faults. `arbutusramp check FILE` names each with file, line, section,\n")
	b.WriteString("key and what is allowed; a process does not start with a fault. Durations are written like 250ms, 30s or 2h.\n\n")
	b.WriteString("At SIGHUP a process reads its file again (see KEYS.md). These take effect then; every other key needs a restart.\n\n")
	fmt.Fprintf(&b, "- entry: %s\n- side: %s\n\n", liveList(entryTable()), liveList(sideTable()))
	writeTable(&b, "Entry", entryTable())
	writeTable(&b, "Side", sideTable())
	writeTable(&b, "Gateway", gatewayTable())
	return strings.TrimRight(b.String(), "\n") + "\n"
}

func writeTable[T any](b *strings.Builder, title string, tab table[T]) {
	fmt.Fprintf(b, "## %s\n\n", title)
	b.WriteString("| section | key | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n")
	for _, r := range tab.rows {
		def := r.def
		switch {
		case r.required:
			def = "required"
		case def == "":
			def = "unset"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.section, r.key, r.unit, def, r.field.allowed, r.doc)
	}
	for _, g := range tab.groups {
		need := "none"
		if g.required {
			need = "at least one"
		}
		fmt.Fprintf(b, "| %s | any name | %s | %s | %s | %s |\n", g.section, g.unit, need, g.allowed, g.doc)
	}
	b.WriteString("\n")
}

// liveList names what is read again at SIGHUP.
func liveList[T any](tab table[T]) string {
	var list []string
	for _, r := range tab.rows {
		if r.live {
			list = append(list, fmt.Sprintf("`[%s] %s`", r.section, r.key))
		}
	}
	for _, g := range tab.groups {
		list = append(list, fmt.Sprintf("`[%s]`", g.section))
	}
	return strings.Join(list, ", ")
}
