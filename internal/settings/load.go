package settings

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"arbutusramp/core/errs"
)

// LoadEntry reads the settings of an entry process. The error is an
// *errs.Error of type errs.BadSettings that holds every fault, one a line.
func LoadEntry(path string) (Entry, error) { return load(entryTable(), path) }

// LoadSide reads the settings of a side process. Errors as for LoadEntry.
func LoadSide(path string) (Side, error) { return load(sideTable(), path) }

// Check returns the faults of a settings file of any kind. The kind is what
// the file's [host] role says; without one, it is checked as an entry's.
func Check(path string) []Fault {
	data, err := os.ReadFile(path)
	if err != nil {
		return []Fault{unreadable(path, err)}
	}
	if roleOf(data) == sideTable().role {
		_, faults := parse(sideTable(), path, data)
		return faults
	}
	if roleOf(data) == gatewayTable().role {
		_, faults := parse(gatewayTable(), path, data)
		return faults
	}
	_, faults := parse(entryTable(), path, data)
	for i, f := range faults {
		if f.Section == "host" && f.Key == "role" {
			faults[i].Allowed = "entry, side, gateway"
		}
	}
	return faults
}

func load[T any](tab table[T], path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, faultsError([]Fault{unreadable(path, err)})
	}
	t, faults := parse(tab, path, data)
	return t, faultsError(faults)
}

func unreadable(path string, err error) Fault {
	return Fault{File: path, Problem: err.Error(), Allowed: "a readable INI file"}
}

// iniOptions switch off what would make a value differ from its line: continuation
// lines and child sections.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	ChildSectionDelimiter:    "\x00",
	SkipUnrecognizableLines:  true, // reported by the index, which knows the line
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

func roleOf(data []byte) string {
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return ""
	}
	return f.Section("host").Key("role").Value()
}

// parse reads data by tab. It goes on after a fault, so that one run names all.
func parse[T any](tab table[T], file string, data []byte) (T, []Fault) {
	var t T
	setDefaults(tab, &t)
	idx := indexLines(data)
	faults := idx.faults
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		faults = append(faults, Fault{Problem: err.Error(), Allowed: "INI: [section] and key = value lines"})
		return t, finish(faults, file, idx)
	}
	faults = append(faults, unknown(tab, f)...)
	faults = append(faults, readRows(tab, f, &t)...)
	faults = append(faults, readGroups(tab, f, &t)...)
	if len(faults) == 0 {
		faults = tab.check(&t)
	}
	return t, finish(faults, file, idx)
}

func finish(faults []Fault, file string, idx lineIndex) []Fault {
	for i := range faults {
		faults[i].File = file
		if faults[i].Line == 0 {
			faults[i].Line = idx.line(faults[i].Section, faults[i].Key)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return faults
}

// setDefaults panics on a default that its own row refuses; a test runs it.
func setDefaults[T any](tab table[T], t *T) {
	for _, r := range tab.rows {
		if r.def == "" {
			continue
		}
		if err := r.field.set(t, r.def); err != nil {
			panic(fmt.Sprintf("default of [%s] %s: %v", r.section, r.key, err))
		}
	}
}

// unknown finds sections and keys that the table does not have.
func unknown[T any](tab table[T], f *ini.File) []Fault {
	var faults []Fault
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			for _, k := range sec.Keys() {
				faults = append(faults, Fault{Key: k.Name(), Problem: "key outside a section", Allowed: "[section] lines: " + sectionList(tab)})
			}
			continue
		}
		keys, ok := tab.keys(sec.Name())
		if !ok {
			faults = append(faults, Fault{Section: sec.Name(), Problem: "unknown section", Allowed: sectionList(tab)})
			continue
		}
		if keys == nil {
			continue
		}
		for _, k := range sec.Keys() {
			if !slices.Contains(keys, k.Name()) {
				faults = append(faults, Fault{Section: sec.Name(), Key: k.Name(), Problem: "unknown key", Allowed: strings.Join(keys, ", ")})
			}
		}
	}
	return faults
}

// keys returns the known keys of a section; nil with true means any.
func (tab table[T]) keys(section string) ([]string, bool) {
	for _, g := range tab.groups {
		if g.section == section {
			return nil, true
		}
	}
	var keys []string
	for _, r := range tab.rows {
		if r.section == section {
			keys = append(keys, r.key)
		}
	}
	return keys, len(keys) > 0
}

func sectionList[T any](tab table[T]) string {
	var list []string
	for _, r := range tab.rows {
		if !slices.Contains(list, r.section) {
			list = append(list, r.section)
		}
	}
	for _, g := range tab.groups {
		list = append(list, g.section)
	}
	return strings.Join(list, ", ")
}

func readRows[T any](tab table[T], f *ini.File, t *T) []Fault {
	var faults []Fault
	for _, r := range tab.rows {
		sec, err := f.GetSection(r.section)
		if err != nil || !sec.HasKey(r.key) {
			if r.required {
				faults = append(faults, Fault{Section: r.section, Key: r.key, Problem: "missing", Allowed: r.field.allowed})
			}
			continue
		}
		if err := r.field.set(t, sec.Key(r.key).Value()); err != nil {
			faults = append(faults, Fault{Section: r.section, Key: r.key, Problem: errs.As(err).Detail, Allowed: r.field.allowed})
		}
	}
	return faults
}

func readGroups[T any](tab table[T], f *ini.File, t *T) []Fault {
	var faults []Fault
	for _, g := range tab.groups {
		sec, err := f.GetSection(g.section)
		if err != nil || len(sec.Keys()) == 0 {
			if g.required {
				faults = append(faults, Fault{Section: g.section, Problem: "missing", Allowed: g.allowed})
			}
			continue
		}
		for _, k := range sec.Keys() {
			err := checkName(k.Name())
			if err == nil {
				err = g.add(t, k.Name(), k.Value())
			}
			if err != nil {
				faults = append(faults, Fault{Section: g.section, Key: k.Name(), Problem: errs.As(err).Detail, Allowed: g.allowed})
			}
		}
	}
	return faults
}
