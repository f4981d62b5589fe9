package enginehttp_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/standin/engine"
)

// fast is an engine whose steps take 1 ms.
var fast = engine.Options{
	Models:          []structs.ModelID{"m"},
	Base:            time.Millisecond,
	PerSeq:          time.Microsecond,
	PerPrefillToken: time.Microsecond,
	LoadLag:         time.Millisecond,
	RestartTime:     time.Hour,
}

func start(t *testing.T, o engine.Options) (*engine.Server, platform.Engine) {
	t.Helper()
	s, err := engine.Start("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, enginehttp.New(s.URL(), enginehttp.Options{})
}

func call(id, body string) platform.GenerateCall {
	return platform.GenerateCall{Request: structs.RequestID(id), Path: "/v1/completions", Body: []byte(body)}
}

// event is the part of a token's JSON that holds its text.
type event struct {
	Choices []struct {
		Text  string
		Delta struct{ Content string }
	}
}

// collect runs c and returns the text that came.
func collect(ctx context.Context, e platform.Engine, c platform.GenerateCall) (string, error) {
	var text strings.Builder
	err := e.Generate(ctx, c, func(tok platform.Token) error {
		var ev event
		if err := json.Unmarshal(tok.Data, &ev); err != nil {
			return err
		}
		text.WriteString(ev.Choices[0].Text + ev.Choices[0].Delta.Content)
		return nil
	})
	return text.String(), err
}

func wantError(t *testing.T, err error, kind errs.Type, ran errs.Ran) {
	t.Helper()
	if !errs.Is(err, kind) || errs.As(err).Ran != ran {
		t.Errorf("got %v (%s), want %s (%s)", err, errs.As(err).Ran, kind, ran)
	}
}

// eventually waits for an effect that another goroutine brings about.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for range 5000 {
		if cond() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("never came: " + what)
}
