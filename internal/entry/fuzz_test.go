package entry

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

func FuzzSplitService(f *testing.F) {
	for _, s := range []string{"/svc/", "/svc/a", "/svc/a/", "/svc/a?x", "/svc/a/b?c/d", "/svc//b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		if !strings.HasPrefix(uri, pathService) {
			return
		}
		name, path := splitService(uri)
		if strings.ContainsAny(name, "/?") || !strings.HasPrefix(path, "/") {
			t.Fatalf("%q: name %q, path %q", uri, name, path)
		}
		if whole := pathService + name + path; whole != uri && strings.Replace(whole, "/?", "?", 1) != uri && whole != uri+"/" {
			t.Fatalf("%q became %q and %q", uri, name, path)
		}
	})
}

func FuzzParseGenerate(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"m","prompt":"x","max_tokens":3}`, `{"model":1}`, `{"model":"m","prompt":null}`, `[`, ``,
	} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		g, err := parseGenerate(body, chat)
		if err != nil {
			if err.Type != errs.BadRequest || err.Ran != errs.RanNo {
				t.Fatalf("%+v", err)
			}
			return
		}
		if g.Model == "" || g.MaxTokens <= 0 || g.PromptTokens <= 0 || g.Chat != chat {
			t.Fatalf("%+v", g)
		}
	})
}

func FuzzProgress(f *testing.F) {
	f.Add([]byte(token(1)), true)
	f.Add([]byte(`{"choices":[{"index":1,"text":"x","finish_reason":"stop"}],"usage":{}}`), false)
	f.Add([]byte(`{"choices":[{"index":-1}]}`), false)
	f.Add([]byte(`{`), true)
	f.Fuzz(func(t *testing.T, event []byte, chat bool) {
		var p progress
		if err := p.add(event); err != nil {
			if err.Type != errs.BadFrame {
				t.Fatalf("%+v", err)
			}
			return
		}
		if _, err := p.whole(chat); err != nil {
			t.Fatalf("%q can't be joined: %v", event, err)
		}
	})
}
