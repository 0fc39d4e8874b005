package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/quota"
)

// renderTemplate returns a deployment template filled with the values of one host. edits are
// pairs of strings to replace first.
func renderTemplate(t *testing.T, name string, edits ...string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../../deploy/platform/" + name)
	if err != nil {
		t.Fatal(err)
	}
	zones := "{{#zones}}\n\"{{@}}\" = \"{{.}}\"\n{{/zones}}"
	text := strings.NewReplacer(append(edits,
		zones, "\"w1\" = \"west\"\n\"e1\" = \"east\"",
		"{{node}}", "edge-w1-1", "{{region}}", "west", "{{zone}}", "w1", "{{ip}}", "10.1.0.35",
		"{{internal_port_range.0}}", "7660", "{{listen.front}}", "10.1.0.35:8144", "{{listen.ready}}", "10.1.0.35:8140",
		"{{listen.control}}", "10.1.0.35:8146", "{{listen.directory}}", "10.1.0.35:8143", "{{data_dir}}", "/data/x",
		"{{limits.memory_mb}}", "284", "{{bounds.grace_s}}", "8", "{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "58",
		"{{#bounds.quota_window_s}}", "", "{{/bounds.quota_window_s}}", "",
		"{{bounds.quota_window_s}}", "8", "{{bounds.quota_excess}}", "0.1", "{{bounds.quota_slack}}", "72000",
		"{{bounds.retry_window_s}}", "10", "{{seeds|json}}", `["10.1.0.38:8146","10.2.0.31:8146"]`, "{{heartbeat_ms}}", "1200", "{{bootstrap}}", "true",
	)...).Replace(string(data))
	if strings.Contains(text, "{{") {
		t.Fatalf("unreplaced placeholder:\n%s", text)
	}
	return []byte(text)
}

func TestDeployTemplates(t *testing.T) {
	e := DefaultEntry()
	if err := Decode("entry", renderTemplate(t, "entry.toml.tmpl"), e); err != nil {
		t.Error(err)
	}
	if e.Retries.Slack != 58 || e.Limits.GraceS != 8 || e.Fleet.Regions["e1"] != "east" {
		t.Errorf("decoded as %+v", e)
	}
	if seeds := e.Fleet.PeerSeeds(); len(seeds) != 2 || seeds[0] != "10.1.0.38:7660" {
		t.Errorf("seeds %v", seeds)
	}
	c := DefaultControl()
	if err := Decode("control", renderTemplate(t, "control.toml.tmpl"), c); err != nil {
		t.Error(err)
	}
	if !c.Fleet.FormGroup || c.Store.Dir != "/data/x" {
		t.Errorf("decoded as %+v", c)
	}
	if want := (quota.Bound{Window: 8 * time.Second, Excess: 0.1, Slack: 72000}); c.Quotas.Bound() != want {
		t.Errorf("quotas decoded as %+v, want %+v", c.Quotas.Bound(), want)
	}
}

// TestInvalidQuotaSettings checks that the error for each invalid value names its key.
func TestInvalidQuotaSettings(t *testing.T) {
	cases := map[string]struct{ from, to, key string }{
		"no window":       {"{{bounds.quota_window_s}}", "0", "quotas.window_s"},
		"excess over one": {"{{bounds.quota_excess}}", "1.5", "quotas.excess"},
		"negative slack":  {"{{bounds.quota_slack}}", "-1", "quotas.slack"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := Decode("control", renderTemplate(t, "control.toml.tmpl", c.from, c.to), DefaultControl())
			if err == nil || !strings.Contains(err.Error(), c.key) {
				t.Errorf("got %v, want a fault that names %s", err, c.key)
			}
		})
	}
}

// TestInvalidPlatformSettings checks that the error for each invalid value names its key.
func TestInvalidPlatformSettings(t *testing.T) {
	cases := map[string]struct{ from, to, key string }{
		"unknown interface":       {`interface = "platform"`, `interface = "other"`, "interface"},
		"no seeds":                {"{{seeds|json}}", "[]", "fleet.seeds"},
		"seed that is no address": {"{{seeds|json}}", `["control-1"]`, "fleet.seeds"},
		"domain of no region":     {"{{zone}}", "w9", "fleet.regions"},
		"no port":                 {"peer_port = {{internal_port_range.0}}", "peer_port = 0", "fleet.peer_port"},
		"no grace":                {"{{bounds.grace_s}}", "0", "limits.grace_s"},
		"negative slack":          {"{{bounds.retry_slack}}", "-1", "retries.slack"},
		"no ready address":        {`"{{listen.ready}}"`, `""`, "listen.ready"},
		"misspelt key":            {"grace_s =", "grase_s =", "limits.grase_s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := Decode("entry", renderTemplate(t, "entry.toml.tmpl", c.from, c.to), DefaultEntry())
			if err == nil || !strings.Contains(err.Error(), c.key) {
				t.Errorf("got %v, want a fault that names %s", err, c.key)
			}
		})
	}
}
