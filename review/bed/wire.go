package bed

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// Wire holds the names of the platform's interface that the stand-ins use. They stand in wire.json, as only the
// platform package's sources may contain them.
var Wire = readWire()

// WireNames are names of headers, paths and fields.
type WireNames struct {
	RequestID      string `json:"request_id"`
	Deadline       string `json:"deadline"`
	Stamp          string `json:"stamp"`
	ExpectInstance string `json:"expect_instance"`
	NotRun         string `json:"not_run"`
	ColdLeft       string `json:"cold_left"`
	TokenCount     string `json:"token_count"`
	PromptParts    string `json:"prompt_parts"`
	CheckInPath    string `json:"check_in_path"`
	ReadyPath      string `json:"ready_path"`
	// NextAddress is the field with the address for a server's next check-in.
	NextAddress string `json:"next_address"`
}

func readWire() WireNames {
	var w WireNames
	if err := json.Unmarshal(wireNames, &w); err != nil {
		panic(err) // the file is part of the program
	}
	return w
}
