package intentdoc

import (
	"reflect"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const asINI = `
[target t1]
type = service
host = h1
service = lookup
checks_fence = false

[model m7]
version = 3
adapters = law, plain
replicas = 2
spread_domains = 2

[workspace kelpie]
keys = a-key-long-enough-1
requests_per_s = 2.5

[grant kelpie]
max_items = 1000
models = m7
due_within = 8h

[service lookup]
non_idempotent = POST

[policy]
headroom = 0.3
`

const asJSON = `{"intents":[
{"kind":"target","id":"t1","type":"service","host":"h1","service":"lookup","checks_fence":false},
{"kind":"model","id":"m7","version":"3","adapters":["law","plain"],"replicas":2,"spread_domains":2},
{"kind":"workspace","id":"kelpie","keys":["a-key-long-enough-1"],"requests_per_s":2.5},
{"kind":"grant","id":"kelpie","max_items":1000,"models":["m7"],"due_within":"8h"},
{"kind":"service","id":"lookup","non_idempotent":["POST"]},
{"kind":"policy","headroom":0.3}]}`

func TestBothFormsSayTheSame(t *testing.T) {
	fromINI, err := Parse("a.ini", []byte(asINI))
	if err != nil {
		t.Fatal(err)
	}
	fromJSON, err := Parse("a.json", []byte(asJSON))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(fromINI, fromJSON) {
		t.Errorf("INI %+v\nJSON %+v", fromINI, fromJSON)
	}
	if len(fromINI) != 6 || fromINI[3].Target == nil {
		t.Errorf("the target does not come after its service: %+v", fromINI)
	}
	hash := fromINI[1].Workspace.KeyHashes[0]
	if len(hash) != 64 || strings.Contains(hash, "key") {
		t.Errorf("key hash %q", hash)
	}
}

func TestEachFaultIsNamed(t *testing.T) {
	for doc, want := range map[string]string{
		"[model m]\nreplica = 2":             "[model m] replica: unknown key; allowed: version, adapters, replicas, spread_domains",
		"[model m]\nreplicas = 0":            `[model m] replicas: "0" is not one of them; allowed: 1 to 20000`,
		"[modell m]\n":                       `[modell m]: unknown kind "modell"; allowed: cancel-job`,
		"[model a:b]\n":                      `id: "a:b" is not a name`,
		"[grant w]\n":                        "[grant w] max_items: missing",
		"[policy x]\nheadroom = 1":           "[policy x] id: it has a name",
		"[policy]\nheadroom = 1.5":           `headroom: "1.5" is not one of them; allowed: 0 to 1`,
		"[policy]\nheadroom = NaN":           `headroom: "NaN" is not one of them`,
		"[workspace w]\nkeys = short":        "keys: a key of 5 characters",
		"[workspace w]\nkey_hashes = abc":    "key_hashes: not a sum",
		"[retire-host h]\nwhen = now":        "when: unknown key; allowed: no keys",
		"[retire-host h]\n[retire-host h]\n": "the same as retire-host h",
		"x = 1":                              "x: key outside a section",
		"":                                   "no intents",
		`{"intents":[{"kind":"model"}]}`:     "intents[0] model ] id",
		`{"intents":[{"kind":"policy","headroom":null}]}`: "headroom: <nil> is no value",
		`{"intent":[]}`:                       `unknown field "intent"`,
		`{"intents":[`:                        "unexpected EOF",
		"[service s]\nnon_idempotent = post":  `"post" is not one of them; allowed: GET`,
		"[target t]\ntype = engine\nhost = h": "checks_fence: missing; allowed: true, false",
	} {
		_, err := Parse("f", []byte(doc))
		if !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", doc, err, want)
		}
	}
}

func TestAllFaultsAreNamedAtOnce(t *testing.T) {
	_, err := Parse("f", []byte("[model m]\nreplicas = x\nspread_domains = y\n[policy]\n"))
	if got := strings.Count(err.Error(), "f: "); got != 3 {
		t.Errorf("%d faults in %v", got, err)
	}
}

func TestHostAndJobIntents(t *testing.T) {
	got, err := Parse("f", []byte("[retire-host h1]\n[return-host h2]\n[run-job j1]\n[cancel-job j2]\n[retire-model m]\n[remove-target t]\n[withdraw-grant w]\n[keys w]\nrevoke = a-key-long-enough-1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 8 || *got[0].Host != (structs.HostOrder{ID: "h2"}) {
		t.Errorf("got %+v", got)
	}
}
