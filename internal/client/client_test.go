package client

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"arbutusramp/core/errs"
)

// Symptom: an operator believes to have all results of a job, and some are missing.
// Events: the entry meets an outage while it streams results and ends the list with
// a line that is an error of the list.
// Cause: a reader that takes that line for an item's result.
func TestResultsThatBreakOff(t *testing.T) {
	const lines = `{"custom_id":"a","index":0,"response":{"status_code":200,"body":1},"error":null}
{"custom_id":"b","index":1,"response":null,"error":{"type":"attempts_spent","ran":"ran","message":"m"}}
{"error":{"type":"log_down","ran":"not run","message":"m"}}
`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte(lines))
	}))
	defer server.Close()
	n := 0
	err := New(server.URL, "k").Results(t.Context(), "j", false, func([]byte) error { n++; return nil })
	if n != 2 || !errs.Is(err, errs.LogDown) {
		t.Errorf("%d lines, error %v", n, err)
	}
}

func TestErrorsKeepTheirType(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"error":{"type":"overloaded","ran":"not run","message":"m","retry_after_ms":250}}`))
	}))
	defer server.Close()
	_, err := New(server.URL, "k").Call(t.Context(), http.MethodGet, "/v1/models", nil, nil)
	if e := errs.As(err); e.Type != errs.Overloaded || e.Ran != errs.RanNo || e.RetryAfterMs != 250 {
		t.Errorf("got %+v", e)
	}
}
