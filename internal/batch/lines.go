package batch

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Paths that an item may name.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathServices    = "/svc/"
)

// maxCustomID bounds the caller's name of an item, in bytes.
const maxCustomID = 512

// lineReader turns the lines of a job's file into items. All items of a job go
// to one model or one service: the one that the caller names, else that of the
// first line that can be run. A line that can't be run becomes an item with an error.
type lineReader struct {
	in      *bufio.Reader
	maxLine int
	config  *confstate.State
	spec    *structs.JobSpec
	line    int
}

func newLineReader(r io.Reader, maxLine int, config *confstate.State, spec *structs.JobSpec) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(r, 64<<10), maxLine: maxLine, config: config, spec: spec}
}

// next returns the next item. Errors: io.EOF at the end, errs.BadRequest when the
// body breaks off.
func (l *lineReader) next() (structs.JobItem, error) {
	for {
		text, long, err := l.read()
		if err != nil {
			return structs.JobItem{}, err
		}
		l.line++
		if long {
			return bad(l.line, "", errs.Newf(errs.BadItem, "the line is longer than %d bytes", l.maxLine)), nil
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			return l.parse(text), nil
		}
	}
}

// read returns the next line; long says that it was over the limit and is dropped.
func (l *lineReader) read() (line []byte, long bool, err error) {
	for {
		part, err := l.in.ReadSlice('\n')
		if !long {
			line = append(line, part...)
		}
		if len(line) > l.maxLine {
			line, long = nil, true
		}
		switch {
		case err == nil:
			return line, long, nil
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			if len(line) > 0 || long {
				return line, long, nil
			}
			return nil, false, io.EOF
		}
		return nil, false, errs.Newf(errs.BadRequest, "the body breaks off: %v", err)
	}
}

func bad(line int, id string, e *errs.Error) structs.JobItem {
	return structs.JobItem{CustomID: id, Err: e.WithLine(line)}
}

// fileLine is one line of a job's file.
type fileLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

func (l *lineReader) parse(text []byte) structs.JobItem {
	var f fileLine
	if err := json.Unmarshal(text, &f); err != nil {
		return bad(l.line, "", errs.Newf(errs.BadItem, "not a JSON object of the expected shape: %v", err))
	}
	if f.Method == "" {
		f.Method = http.MethodPost
	}
	item := structs.JobItem{CustomID: f.CustomID, Method: f.Method, Path: f.URL, Body: f.Body}
	var err *errs.Error
	switch {
	case f.CustomID == "":
		err = errs.New(errs.BadItem, "custom_id is missing")
	case len(f.CustomID) > maxCustomID:
		return bad(l.line, f.CustomID[:maxCustomID], errs.Newf(errs.BadItem, "custom_id is longer than %d bytes", maxCustomID))
	case strings.HasPrefix(f.URL, pathServices):
		err = l.service(&item)
	case f.URL == pathChat || f.URL == pathCompletions:
		err = l.model(&item)
	default:
		err = errs.Newf(errs.BadItem, "url %q is neither a completion nor a service", f.URL)
	}
	if err != nil {
		return bad(l.line, f.CustomID, err)
	}
	return item
}

func (l *lineReader) model(item *structs.JobItem) *errs.Error {
	var body struct {
		Model structs.ModelID `json:"model"`
	}
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return errs.Newf(errs.BadItem, "body is not a JSON object: %v", err)
	}
	model := body.Model
	if model == "" {
		model = l.spec.Model
	}
	known, ok := l.config.Models[model]
	switch {
	case item.Method != http.MethodPost:
		return errs.Newf(errs.BadItem, "method %q is not POST", item.Method)
	case model == "":
		return errs.New(errs.BadItem, "no model is named")
	case !ok || known.Retired:
		return errs.Newf(errs.BadItem, "model %q is not served", model)
	case l.spec.Service != "":
		return errs.Newf(errs.BadItem, "the job is for service %q", l.spec.Service)
	case l.spec.Model != "" && l.spec.Model != model:
		return errs.Newf(errs.BadItem, "the job is for model %q, the line names %q", l.spec.Model, model)
	}
	l.spec.Model = model
	return nil
}

func (l *lineReader) service(item *structs.JobItem) *errs.Error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(item.Path, pathServices), "/")
	id := structs.ServiceID(name)
	service, ok := l.config.Services[id]
	switch {
	case !ok:
		return errs.Newf(errs.BadItem, "service %q is not known", name)
	case l.spec.Model != "":
		return errs.Newf(errs.BadItem, "the job is for model %q", l.spec.Model)
	case l.spec.Service != "" && l.spec.Service != id:
		return errs.Newf(errs.BadItem, "the job is for service %q, the line names %q", l.spec.Service, id)
	}
	l.spec.Service = id
	item.Path = "/" + rest
	for _, m := range service.NonIdempotent {
		item.Once = item.Once || strings.EqualFold(m, item.Method)
	}
	return nil
}
