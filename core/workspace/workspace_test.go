package workspace

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

func TestByKey(t *testing.T) {
	x, problems := NewIndex([]Workspace{
		{Name: "a", Keys: []Digest{DigestOf("k1"), DigestOf("k2")}},
		{Name: "b", Keys: []Digest{DigestOf("k3")}},
	})
	if len(problems) != 0 || x.Len() != 2 {
		t.Fatalf("%d workspaces, problems %v", x.Len(), problems)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if w, ok := x.ByKey(DigestOf(key)); !ok || w.Name != want {
			t.Errorf("%s belongs to %+v, want %s", key, w, want)
		}
	}
	if _, ok := x.ByKey(DigestOf("k4")); ok {
		t.Error("an unknown key has a workspace")
	}
}

// A key of two workspaces is rejected for both, and their other keys stay valid.
func TestSharedKeyIsRejected(t *testing.T) {
	x, problems := NewIndex([]Workspace{
		{Name: "a", Keys: []Digest{DigestOf("shared"), DigestOf("k1"), DigestOf("k1")}},
		{Name: "b", Keys: []Digest{DigestOf("shared"), DigestOf("k2")}},
		{Name: "c", Keys: []Digest{DigestOf("shared")}},
	})
	if len(problems) != 2 || !errs.Is(problems[0], errs.BadRequest) {
		t.Errorf("problems %v", problems)
	}
	if _, ok := x.ByKey(DigestOf("shared")); ok {
		t.Error("the shared key has a workspace")
	}
	for key, want := range map[string]string{"k1": "a", "k2": "b"} {
		if w, ok := x.ByKey(DigestOf(key)); !ok || w.Name != want {
			t.Errorf("%s belongs to %+v, want %s", key, w, want)
		}
	}
	for _, p := range problems {
		if strings.Contains(p.Error(), "shared") {
			t.Errorf("a problem names a key: %v", p)
		}
	}
}

func TestUnusableWorkspacesAreLeftOut(t *testing.T) {
	x, problems := NewIndex([]Workspace{
		{Name: "", Keys: []Digest{DigestOf("k1")}},
		{Name: "line\nfeed", Keys: []Digest{DigestOf("k2")}},
		{Name: " space", Keys: []Digest{DigestOf("k3")}},
		{Name: strings.Repeat("x", maxNameBytes+1), Keys: []Digest{DigestOf("k4")}},
		{Name: "good", Keys: []Digest{DigestOf("k5")}},
		{Name: "good", Keys: []Digest{DigestOf("k6")}},
	})
	if len(problems) != 5 || x.Len() != 1 {
		t.Fatalf("%d workspaces, problems %v", x.Len(), problems)
	}
	for _, key := range []string{"k1", "k2", "k3", "k4", "k6"} {
		if w, ok := x.ByKey(DigestOf(key)); ok {
			t.Errorf("%s belongs to %+v", key, w)
		}
	}
	if w, ok := x.ByKey(DigestOf("k5")); !ok || w.Name != "good" {
		t.Errorf("k5 belongs to %+v", w)
	}
}

func TestParseAuthorization(t *testing.T) {
	cases := []struct {
		name      string
		values    []string
		key       string // empty for none
		isInvalid bool
	}{
		{name: "none"},
		{name: "a key", values: []string{"Bearer abc"}, key: "abc"},
		{name: "scheme in another case", values: []string{"bEARER abc"}, key: "abc"},
		{name: "additional white space", values: []string{" Bearer   abc\t"}, key: "abc"},
		{name: "token characters", values: []string{"Bearer a-._~+/=9"}, key: "a-._~+/=9"},
		{name: "two headers", values: []string{"Bearer abc", "Bearer abc"}, isInvalid: true},
		{name: "two keys", values: []string{"Bearer abc, Bearer def"}, isInvalid: true},
		{name: "two words", values: []string{"Bearer abc def"}, isInvalid: true},
		{name: "empty", values: []string{""}, isInvalid: true},
		{name: "scheme only", values: []string{"Bearer"}, isInvalid: true},
		{name: "scheme and space", values: []string{"Bearer  "}, isInvalid: true},
		{name: "other scheme", values: []string{"Basic abc"}, isInvalid: true},
		{name: "no scheme", values: []string{"abc"}, isInvalid: true},
		{name: "control character", values: []string{"Bearer a\x00b"}, isInvalid: true},
		{name: "not ASCII", values: []string{"Bearer aäb"}, isInvalid: true},
		{name: "too long", values: []string{"Bearer " + strings.Repeat("x", maxKeyBytes+1)}, isInvalid: true},
	}
	for _, c := range cases {
		got := ParseAuthorization(c.values)
		if (got.Err != nil) != c.isInvalid || got.IsSet != (c.key != "") || c.key != "" && got.Key != DigestOf(c.key) {
			t.Errorf("%s: %+v", c.name, got)
		}
		if c.isInvalid && !errs.Is(got.Err, errs.Unauthenticated) {
			t.Errorf("%s: error %v", c.name, got.Err)
		}
	}
}

// Any header value gives one key, none, or a typed error that does not repeat the value.
func FuzzParseAuthorization(f *testing.F) {
	for _, value := range []string{"", "Bearer abc", "bearer  abc ", "Bearer", "Basic dTpw", "Bearer a,b", "Bearer a b", "\tBearer\tabc", "Bearer \x7f", "Bearer äöü"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		c := ParseAuthorization([]string{value})
		if c.IsSet == (c.Err != nil) {
			t.Fatalf("%q: %+v", value, c)
		}
		if c.Err != nil && len(value) > 40 && strings.Contains(c.Err.Error(), value) {
			t.Errorf("the error repeats %q: %v", value, c.Err)
		}
		if c.IsSet && ParseAuthorization([]string{value, value}).IsSet {
			t.Errorf("%q sent twice gives a key", value)
		}
	})
}
