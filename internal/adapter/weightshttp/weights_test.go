package weightshttp_test

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/weightshttp"
	"arbutusramp/standin/ownaddr"
	"arbutusramp/standin/weights"
)

func TestSize(t *testing.T) {
	s, err := weights.Start(ownaddr.New(), weights.Options{Sizes: map[structs.ModelID]int64{"org/m:a": 70}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	w := weightshttp.New(s.URL())
	if got, err := w.Size(t.Context(), "org/m:a", "1"); err != nil || got != 70 {
		t.Errorf("%d, %v", got, err)
	}
	if _, err := w.Size(t.Context(), "other", "1"); !errs.Is(err, errs.UnknownModel) {
		t.Errorf("got %v", err)
	}
	s.Turn(func(k *weights.Knobs) { k.Outage = true })
	if _, err := w.Size(t.Context(), "org/m:a", "1"); !errs.Is(err, errs.TargetFailed) {
		t.Errorf("got %v", err)
	}
	s.Refuse(time.Hour)
	if _, err := w.Size(t.Context(), "org/m:a", "1"); !errs.Is(err, errs.TargetFailed) {
		t.Errorf("got %v", err)
	}
}
