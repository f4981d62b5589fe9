package dev

import (
	"bytes"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/client"
	"github.com/hashicorp/go-hclog"
)

func TestOnce(t *testing.T) {
	var out bytes.Buffer
	if err := RunOnce(t.Context(), hclog.NewNullLogger(), &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	t.Log(out.String())
}

// Symptom: a caller takes half an answer for the whole one.
// Events: the connection to a target breaks, the stream ends without its last event.
// Cause: a reader that takes the end of the body for the end of the answer.
func TestCutStreamIsNoAnswer(t *testing.T) {
	event := `data: {"choices":[{"delta":{"content":" a"}}]}` + "\n\n"
	if _, _, err := joinEvents([]byte(event)); !errs.Is(err, errs.StreamBroken) {
		t.Errorf("cut stream: %v", err)
	}
	failed := event + "event: error\ndata: {\"error\":{\"type\":\"target_failed\",\"ran\":\"unknown\",\"message\":\"lost\"}}\n\n"
	if _, _, err := joinEvents([]byte(failed)); !errs.Is(err, errs.TargetFailed) {
		t.Errorf("stream with an error: %v", err)
	}
	text, tokens, err := joinEvents([]byte(event + "data: [DONE]\n\n"))
	if text != " a" || tokens != 1 || err != nil {
		t.Errorf("whole stream: %q %d %v", text, tokens, err)
	}
}

func TestResultsAreChecked(t *testing.T) {
	good := client.JobLine{CustomID: "case-1"}
	if err := checkResult(0, good); err == nil {
		t.Error("a line without a response passed")
	}
	good.Error = errs.New(errs.AttemptsSpent, "failed")
	if err := checkResult(0, good); !errs.Is(err, errs.AttemptsSpent) {
		t.Errorf("an item's error: %v", err)
	}
	if n := strings.Count(string(jobFile()), "\n"); n != jobItems {
		t.Errorf("%d lines in the job's file", n)
	}
}
