package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutusramp/core/errs"
)

// field reads one value into a T. allowed says in words what set accepts.
type field[T any] struct {
	allowed string
	set     func(t *T, value string) error
	// value returns what set has stored; nil for a field that stores nothing.
	value func(t *T) any
}

const maxNameLen = 64

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

func bad(format string, args ...any) error {
	return errs.Newf(errs.BadSettings, format, args...)
}

// name reads an identifier; S is one of the string types of core/structs.
func name[T any, S ~string](get func(*T) *S) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: fmt.Sprintf("1 to %d letters, digits, or any of . _ : / -", maxNameLen),
		set: func(t *T, value string) error {
			if err := checkName(value); err != nil {
				return err
			}
			*get(t) = S(value)
			return nil
		},
	}
}

func checkName(value string) error {
	if len(value) > maxNameLen {
		return bad("%d characters", len(value))
	}
	if !nameRE.MatchString(value) {
		return bad("%q is not a name", value)
	}
	return nil
}

// names reads names separated by commas.
func names[T any, S ~string](get func(*T) *[]S) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: "names separated by commas",
		set: func(t *T, value string) error {
			var list []S
			for part := range strings.SplitSeq(value, ",") {
				part = strings.TrimSpace(part)
				if err := checkName(part); err != nil {
					return err
				}
				list = append(list, S(part))
			}
			*get(t) = list
			return nil
		},
	}
}

func oneOf[T any](set func(*T, string), words ...string) field[T] {
	return field[T]{
		allowed: strings.Join(words, ", "),
		set: func(t *T, value string) error {
			if !slices.Contains(words, value) {
				return bad("%q is not one of them", value)
			}
			set(t, value)
			return nil
		},
	}
}

// word is oneOf for a key whose value is kept as it is written.
func word[T any](get func(*T) *string, words ...string) field[T] {
	f := oneOf(func(t *T, value string) { *get(t) = value }, words...)
	f.value = func(t *T) any { return *get(t) }
	return f
}

func boolean[T any](get func(*T) *bool) field[T] {
	f := oneOf(func(t *T, word string) { *get(t) = word == "true" }, "true", "false")
	f.value = func(t *T) any { return *get(t) }
	return f
}

func integer[T any](lo, hi int, get func(*T) *int) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: fmt.Sprintf("%d to %d", lo, hi),
		set: func(t *T, value string) error {
			n, err := strconv.Atoi(value)
			if err != nil {
				return bad("%q is not a whole number", value)
			}
			if n < lo || n > hi {
				return bad("%d is out of range", n)
			}
			*get(t) = n
			return nil
		},
	}
}

func ratio[T any](get func(*T) *float64) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: "0 to 1",
		set: func(t *T, value string) error {
			x, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return bad("%q is not a number", value)
			}
			if !(x >= 0 && x <= 1) { // false for NaN as well
				return bad("%v is out of range", x)
			}
			*get(t) = x
			return nil
		},
	}
}

func duration[T any](lo, hi time.Duration, get func(*T) *time.Duration) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: fmt.Sprintf("%s to %s", shortDuration(lo), shortDuration(hi)),
		set: func(t *T, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return bad("%q is not a duration such as 250ms, 30s or 2h", value)
			}
			if d < lo || d > hi {
				return bad("%s is out of range", shortDuration(d))
			}
			*get(t) = d
			return nil
		},
	}
}

// shortDuration prints d without trailing zero units: 24h in place of 24h0m0s.
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// addr reads a listener's address. Names are refused: hosts talk by IP number.
func addr[T any](get func(*T) *string) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: "IP:port; port 0 takes a free one",
		set: func(t *T, value string) error {
			if _, err := netip.ParseAddrPort(value); err != nil {
				return bad("%q is not IP:port", value)
			}
			*get(t) = value
			return nil
		},
	}
}

// ownAddr is addr for a listener whose address is told to other processes: one that stands
// for every interface would send them to themselves.
func ownAddr[T any](get func(*T) *string) field[T] {
	f := addr(get)
	f.allowed = "IP:port of one interface, as in the host list; port 0 takes a free one"
	set := f.set
	f.set = func(t *T, value string) error {
		if ap, err := netip.ParseAddrPort(value); err == nil && ap.Addr().IsUnspecified() {
			return bad("%s stands for every interface", ap.Addr())
		}
		return set(t, value)
	}
	return f
}

// baseURL reads the base URL of an outside service.
func baseURL[T any](get func(*T) *string) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: "http://IP:port, without a trailing slash",
		set: func(t *T, value string) error {
			if err := checkBaseURL(value); err != nil {
				return err
			}
			*get(t) = value
			return nil
		},
	}
}

func checkBaseURL(value string) error {
	u, err := url.Parse(value)
	if err != nil {
		return bad("%q is not a URL", value)
	}
	if u.Scheme != "http" {
		return bad("scheme %q", u.Scheme)
	}
	ap, err := netip.ParseAddrPort(u.Host)
	if err != nil || ap.Port() == 0 {
		return bad("%q is not IP:port", u.Host)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.HasSuffix(u.Path, "/") {
		return bad("%q has more than a base URL", value)
	}
	return nil
}

func absPath[T any](get func(*T) *string) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: "absolute path of a PEM file",
		set: func(t *T, value string) error {
			if !filepath.IsAbs(value) {
				return bad("%q is not an absolute path", value)
			}
			*get(t) = value
			return nil
		},
	}
}

// hexBytes decodes value and checks that it has lo to hi bytes. It never
// repeats the value: it may be a secret.
func hexBytes(value string, lo, hi int) ([]byte, error) {
	b, err := hex.DecodeString(value)
	if err != nil {
		return nil, bad("not hexadecimal")
	}
	if len(b) < lo || len(b) > hi {
		return nil, bad("%d bytes", len(b))
	}
	return b, nil
}
