//go:build review

package rig

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the names of the users' platform that the stand-ins speak.
var names = loadNames()

// nameTable is the content of names.json.
type nameTable struct {
	RequestID      string `json:"request_id"`
	Deadline       string `json:"deadline"`
	ExpectInstance string `json:"expect_instance"`
	NotRun         string `json:"not_run"`
	Stamp          string `json:"stamp"`
	Model          string `json:"model"`
	TokenCount     string `json:"token_count"`
	ServerLoad     string `json:"server_load"`
	Wait           string `json:"wait"`
	LastEventID    string `json:"last_event_id"`
	ReadyPath      string `json:"ready_path"`
	ReportPath     string `json:"report_path"`
	JobPath        string `json:"job_path"`
	ConfigTopic    string `json:"config_topic"`
	ServersTopic   string `json:"servers_topic"`
	PrefixField    string `json:"prefix_field"`
	GapField       string `json:"gap_field"`
}

// loadNames decodes names.json, which is part of the program.
func loadNames() (t nameTable) {
	if err := json.Unmarshal(namesJSON, &t); err != nil {
		panic(err)
	}
	return t
}
