package backlog

import "testing"

// Guards against a result that is listed as complete with a part of the output: an owner that has released its shard
// stores the whole text, and another one stores the text of another version that it has begun meanwhile.
func TestCompleteProgressKeepsItsText(t *testing.T) {
	whole := Progress{Job: "j", Item: "i", LastEventID: "3", Text: "a\nb\nc", Outcome: Complete, Service: "s", Version: "v1"}
	empty := Progress{Job: "j", Item: "i", Outcome: Complete}
	begun := map[string]Progress{
		"shorter text of another version": {Job: "j", Item: "i", LastEventID: "1", Text: "x", Service: "s", Version: "v2"},
		"longer text of another version":  {Job: "j", Item: "i", LastEventID: "2", Text: "xxxxxxxx\ny", Service: "s", Version: "v2"},
		"text of unknown version":         {Job: "j", Item: "i", LastEventID: "2", Text: "xxxxxxxx\ny"},
		"failures":                        {Job: "j", Item: "i", Failures: 2},
	}
	for name, other := range begun {
		for _, complete := range []Progress{whole, empty} {
			for order, merged := range map[string]Progress{"complete first": complete, "complete last": other} {
				if order == "complete first" {
					merged.Merge(other)
				} else {
					merged.Merge(complete)
				}
				if merged.Outcome != Complete || merged.Text != complete.Text || merged.LastEventID != complete.LastEventID || merged.Version != complete.Version || merged.Failures != other.Failures {
					t.Errorf("%s, %s: outcome %q, text %q, want complete with %q", name, order, merged.Outcome, merged.Text, complete.Text)
				}
			}
		}
	}
}
