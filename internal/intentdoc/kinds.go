package intentdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/structs"
)

// kind is one kind of intent.
type kind struct {
	unnamed bool
	make    func(name string) structs.Intent
	rows    []row
}

// row is one key of a kind. set returns what is wrong with the value, or "".
type row struct {
	key      string
	required bool
	allowed  string
	set      func(*structs.Intent, value) string
}

func (k kind) keyNames() string {
	if len(k.rows) == 0 {
		return "no keys"
	}
	var names []string
	for _, r := range k.rows {
		names = append(names, r.key)
	}
	return strings.Join(names, ", ")
}

func kindNames() string { return strings.Join(slices.Sorted(maps.Keys(kinds)), ", ") }

const (
	maxNameLen  = 64
	nameAllowed = "1 to 64 letters, digits, or any of . _ / -"
	maxCount    = 1_000_000_000
	minKeyLen   = 16
)

// nameRE leaves out the colon, which engines put between a model and its adapter.
var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

func checkName(s string) string {
	if len(s) > maxNameLen || !nameRE.MatchString(s) {
		return fmt.Sprintf("%.80q is not a name", s)
	}
	return ""
}

var kinds = map[string]kind{
	"workspace": {
		make: func(name string) structs.Intent {
			return structs.Intent{Workspace: &structs.WorkspaceIntent{ID: structs.WorkspaceID(name)}}
		},
		rows: []row{
			clearKeys("keys", func(i *structs.Intent) *[]string { return &i.Workspace.KeyHashes }),
			keyHashes("key_hashes", func(i *structs.Intent) *[]string { return &i.Workspace.KeyHashes }),
			number("requests_per_s", 0, math.MaxInt32, func(i *structs.Intent, f float64) { i.Workspace.RequestsPerS = &f }),
			integer("burst", 0, maxCount, func(i *structs.Intent, n int) { i.Workspace.Burst = &n }),
			integer("max_in_flight", 0, maxCount, func(i *structs.Intent, n int) { i.Workspace.MaxInFlight = &n }),
			integer("weight", 0, maxCount, func(i *structs.Intent, n int) { i.Workspace.Weight = &n }),
		},
	},
	"keys": {
		make: func(name string) structs.Intent {
			return structs.Intent{Keys: &structs.KeysIntent{Workspace: structs.WorkspaceID(name)}}
		},
		rows: []row{
			clearKeys("add", func(i *structs.Intent) *[]string { return &i.Keys.Add }),
			keyHashes("add_hashes", func(i *structs.Intent) *[]string { return &i.Keys.Add }),
			clearKeys("revoke", func(i *structs.Intent) *[]string { return &i.Keys.Revoke }),
			keyHashes("revoke_hashes", func(i *structs.Intent) *[]string { return &i.Keys.Revoke }),
		},
	},
	"grant": {
		make: func(name string) structs.Intent {
			return structs.Intent{Grant: &structs.GrantIntent{Workspace: structs.WorkspaceID(name)}}
		},
		rows: []row{
			required(integer("max_items", 1, maxCount, func(i *structs.Intent, n int) { i.Grant.MaxItems = n })),
			names("models", func(i *structs.Intent) *[]structs.ModelID { return &i.Grant.Models }),
			duration("due_within", time.Second, func(i *structs.Intent, d time.Duration) { i.Grant.DueWithinS = int64(d / time.Second) }),
		},
	},
	"withdraw-grant": {
		make: func(name string) structs.Intent {
			return structs.Intent{Grant: &structs.GrantIntent{Workspace: structs.WorkspaceID(name), Withdraw: true}}
		},
	},
	"model": {
		make: func(name string) structs.Intent {
			return structs.Intent{Model: &structs.ModelIntent{ID: structs.ModelID(name)}}
		},
		rows: []row{
			word("version", func(i *structs.Intent, s string) { i.Model.Version = &s }),
			adapters(),
			integer("replicas", 1, confstate.MaxReplicas, func(i *structs.Intent, n int) { i.Model.Replicas = &n }),
			integer("spread_domains", 1, confstate.MaxReplicas, func(i *structs.Intent, n int) { i.Model.SpreadDomains = &n }),
		},
	},
	"retire-model": {
		make: func(name string) structs.Intent {
			return structs.Intent{RetireModel: &structs.RetireModelIntent{ID: structs.ModelID(name)}}
		},
	},
	"target": {
		make: func(name string) structs.Intent {
			return structs.Intent{Target: &structs.TargetIntent{ID: structs.TargetID(name)}}
		},
		rows: []row{
			required(oneOf("type", []string{"engine", "service"}, func(i *structs.Intent, s string) {
				i.Target.Kind = structs.KindEngine
				if s == "service" {
					i.Target.Kind = structs.KindService
				}
			})),
			required(word("host", func(i *structs.Intent, s string) { i.Target.Host = structs.HostID(s) })),
			word("service", func(i *structs.Intent, s string) { i.Target.Service = structs.ServiceID(s) }),
			required(oneOf("checks_fence", []string{"true", "false"}, func(i *structs.Intent, s string) { i.Target.ChecksFence = s == "true" })),
		},
	},
	"remove-target": {
		make: func(name string) structs.Intent {
			return structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: structs.TargetID(name)}}
		},
	},
	"service": {
		make: func(name string) structs.Intent {
			return structs.Intent{Service: &structs.ServiceIntent{ID: structs.ServiceID(name)}}
		},
		rows: []row{
			required(methods()),
			duration("timeout", time.Millisecond, func(i *structs.Intent, d time.Duration) { i.Service.TimeoutMs = d.Milliseconds() }),
		},
	},
	"run-job": {
		make: func(name string) structs.Intent {
			return structs.Intent{Job: &structs.JobOrder{ID: structs.JobID(name), Run: true}}
		},
	},
	"cancel-job": {
		make: func(name string) structs.Intent {
			return structs.Intent{Job: &structs.JobOrder{ID: structs.JobID(name), Cancel: true}}
		},
	},
	"retire-host": {
		make: func(name string) structs.Intent {
			return structs.Intent{Host: &structs.HostOrder{ID: structs.HostID(name), Retire: true}}
		},
	},
	"return-host": {
		make: func(name string) structs.Intent {
			return structs.Intent{Host: &structs.HostOrder{ID: structs.HostID(name)}}
		},
	},
	"policy": {
		unnamed: true,
		make:    func(string) structs.Intent { return structs.Intent{Policy: &structs.PolicyIntent{}} },
		rows: []row{
			required(number("headroom", 0, 1, func(i *structs.Intent, f float64) { i.Policy.Headroom = f })),
		},
	},
}

func required(r row) row {
	r.required = true
	return r
}

func integer(key string, lo, hi int, set func(*structs.Intent, int)) row {
	return row{key: key, allowed: fmt.Sprintf("%d to %d", lo, hi), set: func(i *structs.Intent, v value) string {
		n, err := strconv.Atoi(v.word)
		if err != nil || n < lo || n > hi {
			return fmt.Sprintf("%.40q is not one of them", v.word)
		}
		set(i, n)
		return ""
	}}
}

func number(key string, lo, hi float64, set func(*structs.Intent, float64)) row {
	return row{key: key, allowed: fmt.Sprintf("%g to %g", lo, hi), set: func(i *structs.Intent, v value) string {
		f, err := strconv.ParseFloat(v.word, 64)
		if err != nil || !(f >= lo && f <= hi) {
			return fmt.Sprintf("%.40q is not one of them", v.word)
		}
		set(i, f)
		return ""
	}}
}

func word(key string, set func(*structs.Intent, string)) row {
	return row{key: key, allowed: nameAllowed, set: func(i *structs.Intent, v value) string {
		if problem := checkName(v.word); problem != "" {
			return problem
		}
		set(i, v.word)
		return ""
	}}
}

func oneOf(key string, words []string, set func(*structs.Intent, string)) row {
	return row{key: key, allowed: strings.Join(words, ", "), set: func(i *structs.Intent, v value) string {
		if !slices.Contains(words, v.word) {
			return fmt.Sprintf("%.40q is not one of them", v.word)
		}
		set(i, v.word)
		return ""
	}}
}

func names[S ~string](key string, get func(*structs.Intent) *[]S) row {
	return row{key: key, allowed: "names", set: func(i *structs.Intent, v value) string {
		for _, w := range v.words() {
			if problem := checkName(w); problem != "" {
				return problem
			}
			*get(i) = append(*get(i), S(w))
		}
		return ""
	}}
}

func adapters() row {
	r := names("adapters", func(i *structs.Intent) *[]string { return &i.Model.Adapters })
	set := r.set
	r.set = func(i *structs.Intent, v value) string {
		i.Model.SetAdapters = true
		return set(i, v)
	}
	return r
}

func duration(key string, least time.Duration, set func(*structs.Intent, time.Duration)) row {
	return row{key: key, allowed: "a time such as 90s, 15m or 8h, " + least.String() + " or more", set: func(i *structs.Intent, v value) string {
		d, err := time.ParseDuration(v.word)
		if err != nil || d < least {
			return fmt.Sprintf("%.40q is not one", v.word)
		}
		set(i, d)
		return ""
	}}
}

// methods reads the HTTP methods that run at most once; "none" says that all may be repeated.
func methods() row {
	all := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	return row{key: "non_idempotent", allowed: strings.Join(all, ", ") + ", or none", set: func(i *structs.Intent, v value) string {
		for _, w := range v.words() {
			if w == "none" && len(v.words()) == 1 {
				return ""
			}
			if !slices.Contains(all, w) {
				return fmt.Sprintf("%.40q is not one of them", w)
			}
			i.Service.NonIdempotent = append(i.Service.NonIdempotent, w)
		}
		return ""
	}}
}

// clearKeys hashes keys as soon as they are read: none is kept, logged or sent on in clear.
func clearKeys(key string, get func(*structs.Intent) *[]string) row {
	return row{key: key, allowed: fmt.Sprintf("keys of %d characters or more", minKeyLen), set: func(i *structs.Intent, v value) string {
		for _, w := range v.words() {
			if len(w) < minKeyLen {
				return fmt.Sprintf("a key of %d characters", len(w))
			}
			sum := sha256.Sum256([]byte(w))
			*get(i) = append(*get(i), hex.EncodeToString(sum[:]))
		}
		return ""
	}}
}

func keyHashes(key string, get func(*structs.Intent) *[]string) row {
	return row{key: key, allowed: "SHA-256 sums of keys in hexadecimal (64 digits)", set: func(i *structs.Intent, v value) string {
		for _, w := range v.words() {
			raw, err := hex.DecodeString(w)
			if err != nil || len(raw) != sha256.Size {
				return "not a sum"
			}
			*get(i) = append(*get(i), strings.ToLower(w))
		}
		return ""
	}}
}
