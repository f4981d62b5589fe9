// Package intentdoc reads documents of intents, in JSON or INI, and checks them as
// settings are checked: each fault is named with its place, its key and what
// is allowed, and an unknown key is a fault.
//
// JSON: {"intents":[{"kind":"model","id":"m7","version":"3","replicas":2}]}.
// INI: a section [model m7] with the same keys.
package intentdoc

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// MaxIntents bounds one document.
const MaxIntents = 1000

// Parse returns the intents of a document. It is JSON if its first byte that is
// not a space is {, else INI. Error: errs.BadSettings with every fault, one a line.
func Parse(file string, body []byte) ([]structs.Intent, error) {
	d := doc{file: file}
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) > 0 && trimmed[0] == '{' {
		d.readJSON(trimmed)
	} else {
		d.readINI(body)
	}
	intents := d.bind()
	return intents, d.err()
}

// block is one intent as it is written.
type block struct {
	place  string // as faults name it
	kind   string
	name   string
	keys   []string // in order
	values map[string]value
}

// value is what stands at a key: one word, or several in JSON's arrays. In INI several are
// separated by commas.
type value struct {
	word string
	list []string
}

func (v value) words() []string {
	if v.list != nil {
		return v.list
	}
	var out []string
	for w := range strings.SplitSeq(v.word, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

type doc struct {
	file   string
	blocks []block
	faults []settings.Fault
}

func (d *doc) fault(place, key, problem, allowed string) {
	d.faults = append(d.faults, settings.Fault{File: d.file, Section: place, Key: key, Problem: problem, Allowed: allowed})
}

func (d *doc) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	lines := make([]string, len(d.faults))
	for n, f := range d.faults {
		lines[n] = f.String()
	}
	return errs.New(errs.BadSettings, strings.Join(lines, "\n"))
}

func (d *doc) readINI(body []byte) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:   true,
		IgnoreContinuation:       true,
		ChildSectionDelimiter:    "\x00",
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, body)
	if err != nil {
		d.fault("", "", err.Error(), "[KIND NAME] and key = value lines")
		return
	}
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			for _, k := range sec.Keys() {
				d.fault("", k.Name(), "key outside a section", "[KIND NAME] lines; kinds: "+kindNames())
			}
			continue
		}
		d.addSection(sec)
	}
}

func (d *doc) addSection(sec *ini.Section) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	b := block{place: sec.Name(), kind: kind, name: strings.TrimSpace(name), values: make(map[string]value)}
	for _, k := range sec.Keys() {
		b.keys = append(b.keys, k.Name())
		b.values[k.Name()] = value{word: k.Value()}
	}
	d.blocks = append(d.blocks, b)
}

const jsonShape = `{"intents":[{"kind":"model","id":"m7","replicas":2}]}`

func (d *doc) readJSON(body []byte) {
	var whole struct {
		Intents []map[string]any `json:"intents"`
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	dec.DisallowUnknownFields()
	err := dec.Decode(&whole)
	if err == nil && dec.More() {
		err = errs.New(errs.BadSettings, "more after the document's end")
	}
	if err != nil {
		d.fault("", "", err.Error(), jsonShape)
		return
	}
	for n, fields := range whole.Intents {
		d.addObject(n, fields)
	}
}

func (d *doc) addObject(n int, fields map[string]any) {
	b := block{place: fmt.Sprintf("intents[%d]", n), values: make(map[string]value)}
	for k, raw := range fields {
		v, ok := jsonValue(raw)
		if !ok {
			d.fault(b.place, k, fmt.Sprintf("%T is no value", raw), "a word, a number, true, false or an array of words")
			continue
		}
		switch k {
		case "kind":
			b.kind = v.word
		case "id":
			b.name = v.word
		default:
			b.keys = append(b.keys, k)
			b.values[k] = v
		}
	}
	slices.Sort(b.keys)
	if b.kind != "" {
		b.place += " " + b.kind + " " + b.name
	}
	d.blocks = append(d.blocks, b)
}

func jsonValue(raw any) (value, bool) {
	switch v := raw.(type) {
	case string:
		return value{word: v}, true
	case json.Number:
		return value{word: v.String()}, true
	case bool:
		return value{word: fmt.Sprint(v)}, true
	case []any:
		list := make([]string, 0, len(v))
		for _, e := range v {
			s, ok := e.(string)
			if !ok {
				return value{}, false
			}
			list = append(list, s)
		}
		return value{list: list}, true
	}
	return value{}, false
}

// bind turns the blocks into intents. It goes on after a fault, so that one run names all.
func (d *doc) bind() []structs.Intent {
	if len(d.blocks) == 0 && len(d.faults) == 0 {
		d.fault("", "", "no intents", "[KIND NAME] sections or "+jsonShape)
	}
	if len(d.blocks) > MaxIntents {
		d.fault("", "", fmt.Sprintf("%d intents", len(d.blocks)), fmt.Sprintf("at most %d in one document", MaxIntents))
		return nil
	}
	var out []structs.Intent
	seen := make(map[string]string)
	for _, b := range d.blocks {
		i, ok := d.bindBlock(b)
		if !ok {
			continue
		}
		what := b.kind + " " + b.name
		if before, twice := seen[what]; twice {
			d.fault(b.place, "", "the same as "+before, "each once")
			continue
		}
		seen[what] = b.place
		out = append(out, i)
	}
	// What others refer to goes first, whatever the order in the document.
	slices.SortStableFunc(out, func(a, b structs.Intent) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

func rank(i structs.Intent) int {
	switch {
	case i.Workspace != nil, i.Service != nil, i.Model != nil:
		return 0
	case i.Host != nil && !i.Host.Retire:
		return 1
	case i.Target != nil, i.Keys != nil, i.Grant != nil:
		return 2
	}
	return 3
}

func (d *doc) bindBlock(b block) (structs.Intent, bool) {
	k, ok := kinds[b.kind]
	if !ok {
		d.fault(b.place, "", fmt.Sprintf("unknown kind %q", b.kind), kindNames())
		return structs.Intent{}, false
	}
	before := len(d.faults)
	if k.unnamed && b.name != "" {
		d.fault(b.place, "id", "it has a name", "no name")
	}
	if err := checkName(b.name); !k.unnamed && err != "" {
		d.fault(b.place, "id", err, nameAllowed)
	}
	i := k.make(b.name)
	for _, key := range b.keys {
		at := slices.IndexFunc(k.rows, func(r row) bool { return r.key == key })
		if at < 0 {
			d.fault(b.place, key, "unknown key", k.keyNames())
			continue
		}
		if problem := k.rows[at].set(&i, b.values[key]); problem != "" {
			d.fault(b.place, key, problem, k.rows[at].allowed)
		}
	}
	for _, r := range k.rows {
		if _, given := b.values[r.key]; r.required && !given {
			d.fault(b.place, r.key, "missing", r.allowed)
		}
	}
	return i, len(d.faults) == before
}
