package settings

import (
	"bytes"
	"cmp"
	"strings"

	"gopkg.in/ini.v1"
)

// lineIndex says on which line each section and key stands. The INI library does not
// keep line numbers, and without them a fault in a long file is hard to find.
type lineIndex struct {
	lines  map[lineKey]int
	faults []Fault // lines that are no INI, and keys that are set twice
}

type lineKey struct{ section, key string }

const utf8BOM = "\xef\xbb\xbf"

func indexLines(data []byte) lineIndex {
	idx := lineIndex{lines: make(map[lineKey]int)}
	section := ini.DefaultSection
	n := 0
	for raw := range bytes.Lines(bytes.TrimPrefix(data, []byte(utf8BOM))) {
		n++
		text := strings.TrimSpace(string(raw))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = idx.addSection(text, n)
		default:
			idx.addKey(section, text, n)
		}
	}
	return idx
}

func (idx *lineIndex) addSection(text string, n int) string {
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		idx.faults = append(idx.faults, Fault{Line: n, Problem: "section without ]", Allowed: "[section]"})
		return ""
	}
	section := strings.TrimSpace(text[1:end])
	if _, ok := idx.lines[lineKey{section, ""}]; !ok {
		idx.lines[lineKey{section, ""}] = n
	}
	return section
}

func (idx *lineIndex) addKey(section, text string, n int) {
	key, _, ok := strings.Cut(text, "=")
	key = strings.TrimSpace(key)
	if !ok || key == "" {
		idx.faults = append(idx.faults, Fault{Line: n, Section: section, Problem: "neither [section] nor key = value", Allowed: "key = value"})
		return
	}
	at := lineKey{section, key}
	if _, twice := idx.lines[at]; twice {
		// The library takes the last of several lines without a word, so a
		// forgotten earlier line would be in force in the operator's mind only.
		idx.faults = append(idx.faults, Fault{Line: n, Section: section, Key: key, Problem: "set twice", Allowed: "one line a key"})
		return
	}
	idx.lines[at] = n
}

// line returns the line of a key, else of its section, else 0.
func (idx lineIndex) line(section, key string) int {
	section = cmp.Or(section, ini.DefaultSection)
	if n, ok := idx.lines[lineKey{section, key}]; ok {
		return n
	}
	return idx.lines[lineKey{section, ""}]
}
