// Package explain finds the story of one request, job or item in the logs of many processes.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Keys that every line has.
const (
	keyTime    = "@timestamp"
	keyMessage = "@message"
	keyLevel   = "@level"
	keyModule  = "@module"
)

const (
	// around is how far from a line of the story a change of belief of the same process may be
	// to be told with it.
	around = 10 * time.Second
	// maxLine bounds a log line.
	maxLine = 1 << 20
)

// idKeys are the fields that name requests, jobs and items.
var idKeys = []string{"request", "job", "item"}

// Line is one line of a log.
type Line struct {
	Source string // file, and process where the file has several
	Time   time.Time
	Fields map[string]any
}

// Read reads the lines of a log. Anything before the first brace of a line names its process;
// lines that are no JSON objects are left out.
func Read(source string, r io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		prefix, text, ok := strings.Cut(scan.Text(), "{")
		if !ok {
			continue
		}
		l := Line{Source: source}
		dec := json.NewDecoder(strings.NewReader("{" + text))
		dec.UseNumber() // offsets and limits stay as they are written
		if dec.Decode(&l.Fields) != nil {
			continue
		}
		stamp, _ := l.Fields[keyTime].(string)
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			continue
		}
		l.Time = at
		if words := strings.Fields(prefix); len(words) > 0 {
			l.Source = words[len(words)-1]
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scan.Err(), source)
}

// Story returns the lines about an id in the order of time, with the changes of belief that the
// same processes noted shortly before and after.
func Story(id string, lines []Line) []Line {
	var story []Line
	for _, l := range lines {
		if l.about(id) {
			story = append(story, l)
		}
	}
	var beliefs []Line
	for _, l := range lines {
		if l.isBelief() && nearAny(l, story) {
			beliefs = append(beliefs, l)
		}
	}
	story = append(story, beliefs...)
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// about reports whether a line names an id. Jobs stand in logs as WORKSPACE/ID; their own id finds them as well.
func (l Line) about(id string) bool {
	return slices.ContainsFunc(idKeys, func(key string) bool {
		value, ok := l.Fields[key].(string)
		return ok && (value == id || strings.HasSuffix(value, "/"+id))
	})
}

// isBelief says that a line is about no request.
func (l Line) isBelief() bool {
	return !slices.ContainsFunc(idKeys, func(key string) bool {
		_, ok := l.Fields[key]
		return ok
	})
}

func nearAny(l Line, story []Line) bool {
	return slices.ContainsFunc(story, func(s Line) bool {
		return s.Source == l.Source && s.Time.Sub(l.Time).Abs() <= around
	})
}

// Print writes lines: time, source, message, then the fields in the order of their names.
func Print(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %v:%s\n", l.Time.Format("15:04:05.000000"), l.Source, l.Fields[keyMessage], l.fields()); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

func (l Line) fields() string {
	var b strings.Builder
	for _, key := range slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]) {
		switch key {
		case keyTime, keyMessage, keyModule, keyLevel:
			continue
		}
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}
