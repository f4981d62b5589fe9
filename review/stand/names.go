//go:build review

package stand

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// Names are the names of the users' platform that the stand-ins speak.
var Names = loadNames()

// NameTable is the content of names.json.
type NameTable struct {
	Headers struct {
		RequestID      string `json:"request_id"`
		Deadline       string `json:"deadline"`
		ExpectInstance string `json:"expect_instance"`
		InstanceID     string `json:"instance_id"`
		NotRun         string `json:"not_run"`
		Stamp          string `json:"stamp"`
		Model          string `json:"model"`
		TokenCount     string `json:"token_count"`
		PromptPrefix   string `json:"prompt_prefix"`
		LengthHint     string `json:"length_hint"`
		ExpectVersion  string `json:"expect_version"`
		WeightVersions string `json:"weight_versions"`
		LastEventID    string `json:"last_event_id"`
	} `json:"headers"`
	Paths struct {
		Ready  string `json:"ready"`
		Report string `json:"report"`
		Job    string `json:"job"`
		Append string `json:"append"`
		Read   string `json:"read"`
		Newest string `json:"newest"`
		Join   string `json:"join"`
		Leave  string `json:"leave"`
	} `json:"paths"`
	Topics struct {
		Operator string `json:"operator"`
		Runners  string `json:"runners"`
	} `json:"topics"`
}

// loadNames decodes names.json, which is part of the program.
func loadNames() (t NameTable) {
	if err := json.Unmarshal(namesJSON, &t); err != nil {
		panic(err)
	}
	return t
}
