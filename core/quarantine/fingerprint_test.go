package quarantine

import (
	"net/http"
	"testing"

	"arbutusramp/core/serving"
)

// A repeat that differs only in its id, its headers and the event after which it resumes has the same
// fingerprint; a request that differs in its workspace, method, host, path or body has a different one.
func TestFingerprintIdentifiesRepeats(t *testing.T) {
	fingerprintWith := func(modify func(*serving.Request)) Fingerprint {
		r := &serving.Request{
			ID: "1", Method: "POST", Host: "h", URI: "/a/b", Header: http.Header{"X": {"1"}}, Body: []byte("body"),
			Caller: serving.Caller{Workspace: "w"},
		}
		modify(r)
		return FingerprintOf(r)
	}
	first := fingerprintWith(func(*serving.Request) {})
	repeat := fingerprintWith(func(r *serving.Request) { r.ID, r.Header, r.ResumeAfter = "2", nil, "7" })
	if first != repeat {
		t.Errorf("fingerprint of a repeat with another id and header: %s, want that of the request, %s", repeat, first)
	}
	others := map[string]func(*serving.Request){
		"workspace": func(r *serving.Request) { r.Caller.Workspace = "v" },
		"method":    func(r *serving.Request) { r.Method = "GET" },
		"host":      func(r *serving.Request) { r.Host = "g" },
		"path":      func(r *serving.Request) { r.URI = "/a/c" },
		"body":      func(r *serving.Request) { r.Body = []byte("other") },
		"parts":     func(r *serving.Request) { r.Host, r.URI = "h/a", "/b" }, // host and path joined are the same
	}
	for name, modify := range others {
		if fingerprintWith(modify) == first {
			t.Errorf("request that differs in its %s: same fingerprint as the first request, want a different one", name)
		}
	}
}
