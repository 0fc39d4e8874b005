package configstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var keyHash = strings.Repeat("ab", 32)

// validRecord returns a valid record as a map for tests to modify.
func validRecord() map[string]any {
	var m map[string]any
	text := fmt.Sprintf(`{"schema_version":2,"regions":[{"name":"a","failure_domains":["a1","a2"]},{"name":"b","failure_domains":["b1"]}],
"hosts":[{"id":"h1","region":"a","failure_domain":"a1","peer":"127.0.0.1:1","caller":"http://127.0.0.1:2"},
{"id":"h2","region":"b","failure_domain":"b1","peer":"127.0.0.2:1","caller":"http://127.0.0.2:2"}],
"teams":[{"name":"t","home":"a","kind":"k","key_hashes":[%q]}],"models":[{"name":"m","regions":["a"]}],
"residency":[{"kind":"k","regions":["a"]}],"operators":[{"name":"o","key_hashes":[%q]}]}`, keyHash, strings.Repeat("cd", 32))
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		panic(err)
	}
	return m
}

// listItem returns element i of one of the record's lists.
func listItem(m map[string]any, list string, i int) map[string]any {
	return m[list].([]any)[i].(map[string]any)
}

func encode(m map[string]any) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

func TestParseRejectsInvalidRecords(t *testing.T) {
	if _, err := Parse(encode(validRecord())); err != nil {
		t.Fatalf("validRecord is rejected: %v", err)
	}
	for _, c := range []struct {
		name string
		edit func(map[string]any)
		want string
	}{
		{"unknown schema", func(m map[string]any) { m["schema_version"] = 9 }, "schema_version: 9 is not supported"},
		{"region without entry hosts", func(m map[string]any) { m["hosts"] = m["hosts"].([]any)[:1] }, `region "b" has no entry host`},
		{"kind without a permitted region", func(m map[string]any) { listItem(m, "residency", 0)["regions"] = []string{"b"} }, `leaves no region for model "m"`},
		{"home is not a region", func(m map[string]any) { listItem(m, "teams", 0)["home"] = "x" }, `teams[0].home: "x" is not a region`},
		{"weight out of range", func(m map[string]any) { listItem(m, "teams", 0)["weight"] = -1 }, "teams[0].weight"},
		{"ceiling out of range", func(m map[string]any) { m["policy"] = map[string]any{"send_away_ceiling": 2} }, "policy.send_away_ceiling"},
		{"unknown preset", func(m map[string]any) { m["policy"] = map[string]any{"preset": "fast"} }, "is not one of archive"},
		{"key instead of its hash", func(m map[string]any) { listItem(m, "teams", 0)["key_hashes"] = []string{"secret"} }, "is not a SHA-256 hash"},
		{"no operator with write access", func(m map[string]any) { m["operators"] = []any{} }, "nobody could change the record again"},
		{"host in a failure domain of another region", func(m map[string]any) { listItem(m, "hosts", 0)["failure_domain"] = "b1" }, `"b1" is not in region "a"`},
		{"duplicate host ID", func(m map[string]any) { listItem(m, "hosts", 1)["id"] = "h1" }, "used twice"},
		{"unsupported number of replicas", func(m map[string]any) { m["ledger"] = map[string]any{"replicas": 2} }, "ledger.replicas"},
		{"list with a wrong JSON type", func(m map[string]any) { m["regions"] = "x" }, "record:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := validRecord()
			c.edit(m)
			_, err := Parse(encode(m))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestPreviousSchemaIsConverted(t *testing.T) {
	m := validRecord()
	m["schema_version"] = 1
	m["residency"] = []any{map[string]any{"kind": "k"}, map[string]any{"kind": "private"}}
	r, err := Parse(encode(m))
	if err != nil {
		t.Fatal(err)
	}
	if rule, _ := r.Rule("private"); !rule.HomeOnly {
		t.Error("HomeOnly is not set for kind private of schema version 1")
	}
	if rule, _ := r.Rule("k"); rule.HomeOnly {
		t.Error("HomeOnly is set for a kind other than private")
	}
}

func command(base uint64, id string, record []byte) *pb.Command {
	return &pb.Command{BaseVersion: base, ChangeId: id, Record: record}
}

func TestMachine(t *testing.T) {
	m := NewMachine(1)
	good := encode(validRecord())
	steps := []struct {
		name    string
		c       *pb.Command
		version uint64
		code    failure.Code
	}{
		{"first", command(0, "a", good), 1, ""},
		{"resent", command(0, "a", good), 1, ""},
		{"outdated base version", command(0, "b", good), 0, failure.VersionConflict},
		{"resent rejected change, base version current now", command(0, "b", good), 0, failure.VersionConflict},
		{"change ID reused", command(1, "a", good), 0, failure.ChangeIDReused},
		{"invalid", command(1, "c", []byte("{}")), 0, failure.InvalidRecord},
		{"second", command(1, "d", good), 2, ""},
	}
	for round := range 2 {
		for _, s := range steps {
			if got := m.Apply(s.c); got.Version != s.version || got.Code != s.code {
				t.Errorf("round %d, %s: %+v, want version %d, %q", round, s.name, got, s.version, s.code)
			}
		}
		// Results must be restored from a snapshot.
		again := NewMachine(9)
		if err := again.Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
		m = again
	}
	if m.Version() != 2 || m.Generation() != 1 {
		t.Errorf("version %d, generation %d; want 2, 1", m.Version(), m.Generation())
	}
}

func TestMachineRetentionIsBounded(t *testing.T) {
	m := NewMachine(1)
	good := encode(validRecord())
	for v := range uint64(MaxResults + 100) {
		if r := m.Apply(command(v, fmt.Sprint(v), good)); r.Version != v+1 {
			t.Fatalf("change %d: %+v", v, r)
		}
	}
	if len(m.results) > MaxResults || len(m.History()) > MaxHistory {
		t.Errorf("%d results and %d changes kept, limits exceeded", len(m.results), len(m.History()))
	}
	if limit := 2 << 20; len(m.Snapshot()) > limit {
		t.Errorf("snapshot has %d bytes, over the limit of 2 MiB", len(m.Snapshot()))
	}
}

func TestReplicaSetOfTheLedgerCannotChange(t *testing.T) {
	m := NewMachine(1)
	m.Apply(command(0, "a", encode(validRecord())))
	next := validRecord()
	listItem(next, "hosts", 0)["id"] = "h9"
	if r := m.Apply(command(1, "b", encode(next))); r.Code != failure.InvalidRecord {
		t.Errorf("changed host IDs of a region: %+v, want invalid-record", r)
	}
	replaced := validRecord()
	listItem(replaced, "hosts", 0)["peer"] = "127.0.0.9:1"
	if r := m.Apply(command(1, "c", encode(replaced))); r.Version != 2 {
		t.Errorf("replacement machine with the same host ID: %+v, want version 2", r)
	}
}

func TestDeltaRebuildsAnyRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOf(rapid.ByteRange('a', 'c')).Draw(t, "a")
		b := rapid.SliceOf(rapid.ByteRange('a', 'c')).Draw(t, "b")
		got, ok := ApplyDelta(a, MakeDelta(1, a, b))
		if !ok || !bytes.Equal(got, b) {
			t.Fatalf("delta from %q to %q rebuilt %q", a, b, got)
		}
	})
}
