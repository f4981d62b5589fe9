package workspace

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

func TestByKeyFindsWorkspaceOfKey(t *testing.T) {
	index, problems := NewIndex([]Workspace{
		{Name: "a", Keys: []Digest{DigestOf("k1"), DigestOf("k2")}},
		{Name: "b", Keys: []Digest{DigestOf("k3")}},
	})
	if len(problems) != 0 || index.Len() != 2 {
		t.Fatalf("%d workspaces with problems %v, want 2 without problems", index.Len(), problems)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if w, ok := index.ByKey(DigestOf(key)); !ok || w.Name != want {
			t.Errorf("key %s belongs to workspace %+v, want %s", key, w, want)
		}
	}
	if _, ok := index.ByKey(DigestOf("k4")); ok {
		t.Error("an unknown key belongs to a workspace, want none")
	}
}

// A key that more than one workspace has is rejected, and their other keys stay valid.
func TestSharedKeyIsRejected(t *testing.T) {
	index, problems := NewIndex([]Workspace{
		{Name: "a", Keys: []Digest{DigestOf("shared"), DigestOf("k1"), DigestOf("k1")}},
		{Name: "b", Keys: []Digest{DigestOf("shared"), DigestOf("k2")}},
		{Name: "c", Keys: []Digest{DigestOf("shared")}},
	})
	if len(problems) != 2 || !errs.Is(problems[0], errs.BadRequest) {
		t.Errorf("problems %v, want two of type bad_request for the shared key", problems)
	}
	if _, ok := index.ByKey(DigestOf("shared")); ok {
		t.Error("the shared key belongs to a workspace, want none")
	}
	for key, want := range map[string]string{"k1": "a", "k2": "b"} {
		if w, ok := index.ByKey(DigestOf(key)); !ok || w.Name != want {
			t.Errorf("key %s belongs to workspace %+v, want %s", key, w, want)
		}
	}
	for _, problem := range problems {
		if strings.Contains(problem.Error(), "shared") {
			t.Errorf("a problem contains the shared key, want no key in it: %v", problem)
		}
	}
}

func TestUnusableWorkspacesAreLeftOut(t *testing.T) {
	index, problems := NewIndex([]Workspace{
		{Name: "", Keys: []Digest{DigestOf("k1")}},
		{Name: "line\nfeed", Keys: []Digest{DigestOf("k2")}},
		{Name: " space", Keys: []Digest{DigestOf("k3")}},
		{Name: strings.Repeat("x", maxNameBytes+1), Keys: []Digest{DigestOf("k4")}},
		{Name: "good", Keys: []Digest{DigestOf("k5")}},
		{Name: "good", Keys: []Digest{DigestOf("k6")}},
	})
	if len(problems) != 5 || index.Len() != 1 {
		t.Fatalf("%d workspaces with problems %v, want 1 with 5 problems", index.Len(), problems)
	}
	for _, key := range []string{"k1", "k2", "k3", "k4", "k6"} {
		if w, ok := index.ByKey(DigestOf(key)); ok {
			t.Errorf("key %s belongs to workspace %+v, want none", key, w)
		}
	}
	if w, ok := index.ByKey(DigestOf("k5")); !ok || w.Name != "good" {
		t.Errorf("key k5 belongs to workspace %+v, want good", w)
	}
}

func TestParseAuthorization(t *testing.T) {
	cases := []struct {
		name      string
		values    []string
		key       string // empty for none
		isInvalid bool
	}{
		{name: "no header"},
		{name: "a key", values: []string{"Bearer abc"}, key: "abc"},
		{name: "scheme in another case", values: []string{"bEARER abc"}, key: "abc"},
		{name: "additional white space", values: []string{" Bearer   abc\t"}, key: "abc"},
		{name: "token characters", values: []string{"Bearer a-._~+/=9"}, key: "a-._~+/=9"},
		{name: "two headers", values: []string{"Bearer abc", "Bearer abc"}, isInvalid: true},
		{name: "two keys", values: []string{"Bearer abc, Bearer def"}, isInvalid: true},
		{name: "a space in the key", values: []string{"Bearer abc def"}, isInvalid: true},
		{name: "an empty header", values: []string{""}, isInvalid: true},
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
			t.Errorf("%s: credential %+v, want an error for an invalid header, else the digest of its key, or neither for no header", c.name, got)
		}
		if c.isInvalid && !errs.Is(got.Err, errs.Unauthenticated) {
			t.Errorf("%s: error %v, want type unauthenticated", c.name, got.Err)
		}
	}
}

// Each header value gives either a key or an error. The error does not contain the value, which may be a
// secret.
func FuzzParseAuthorization(f *testing.F) {
	for _, value := range []string{"", "Bearer abc", "bearer  abc ", "Bearer", "Basic dTpw", "Bearer a,b", "Bearer a b", "\tBearer\tabc", "Bearer \x7f", "Bearer äöü"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		c := ParseAuthorization([]string{value})
		if c.IsSet == (c.Err != nil) {
			t.Fatalf("%q: credential %+v has both a key and an error or neither, want one of them", value, c)
		}
		if c.Err != nil && len(value) > 40 && strings.Contains(c.Err.Error(), value) {
			t.Errorf("the error contains the header value %q, want an error without it: %v", value, c.Err)
		}
		if c.IsSet && ParseAuthorization([]string{value, value}).IsSet {
			t.Errorf("two headers with the value %q give a key, want an error", value)
		}
	})
}
