package configstate

import (
	"encoding/json"
	"testing"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// routedRecord returns an encoded record with three routes, modified by edit.
func routedRecord(t *testing.T, edit func(*Record)) []byte {
	t.Helper()
	r := &Record{
		SchemaVersion: CurrentSchema, OpenOperators: true, Regions: []Region{{Name: "r", FailureDomains: []string{"f"}}},
		RoutedServices: []RoutedService{{Name: "s"}, {Name: "s2"}},
		Routes: []Route{
			{Name: "a", Host: "h", PathPrefix: "/a/", Kind: KindReadOnly, Attempts: 1, TimeoutMS: 1000, Targets: []RouteTarget{{"s", 1}}, Homes: []string{"r", "q"}},
			{Name: "ab", Host: "h", PathPrefix: "/a/b/", Kind: KindStream, Attempts: 1, TimeoutMS: 1000, Targets: []RouteTarget{{"s", 3}, {"s2", 1}}, Homes: []string{"r"}},
			{Name: "c", Host: "h2", PathPrefix: "/", Kind: KindNonIdempotent, Attempts: 1, TimeoutMS: 1000, Targets: []RouteTarget{{"s2", 1}}},
		},
	}
	if edit != nil {
		edit(r)
	}
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestRouteFor(t *testing.T) {
	r, err := Parse(routedRecord(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "a"}, {"h", "/a/b/x", "ab"}, {"h", "/a/b", "a"}, {"h", "/ab/", ""}, {"h", "/", ""},
		{"h2", "/anything", "c"}, {"h3", "/a/x", ""}, {"", "", ""},
	} {
		got, ok := r.RouteFor(c.host, c.path)
		if ok != (c.want != "") || (ok && got.Name != c.want) {
			t.Errorf("%s %s: %v, want %q", c.host, c.path, got, c.want)
		}
	}
	if homes := r.HostHomes("h"); len(homes) != 1 || homes[0] != "r" {
		t.Errorf("homes permitted by all routes of h: %v, want [r]", homes)
	}
	if homes := r.HostHomes("h2"); homes != nil {
		t.Errorf("homes permitted by all routes of h2: %v, want none", homes)
	}
}

func TestSplitByWeight(t *testing.T) {
	r, err := Parse(routedRecord(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	route, _ := r.RouteFor("h", "/a/b/x")
	count := map[string]int{}
	for i := range 1000 {
		count[route.Service((float64(i)+0.5)/1000)]++
	}
	if count["s"] != 750 || count["s2"] != 250 {
		t.Errorf("requests by service: %v, want 750 and 250", count)
	}
}

// declared returns a command with a record that declares its own version.
func declared(t *testing.T, version uint64, edit func(*Record)) *pb.Command {
	raw, err := Compress(routedRecord(t, edit))
	if err != nil {
		t.Fatal(err)
	}
	return &pb.Command{DeclaredVersion: version, Record: raw}
}

// TestDeclaredVersions applies declared versions out of order, twice, and with other
// content under the current version.
func TestDeclaredVersions(t *testing.T) {
	renamed := func(name string) func(*Record) { return func(r *Record) { r.Routes[0].Name = name } }
	m := NewMachine(1)
	steps := []struct {
		version uint64
		edit    func(*Record)
		code    failure.Code
		current uint64
		route   string
	}{
		{5, renamed("v5"), "", 5, "v5"},
		{5, renamed("other"), "", 5, "v5"},
		{3, renamed("v3"), "", 5, "v5"},
		{9, func(r *Record) { r.Routes[0].TimeoutMS = 0 }, failure.InvalidRecord, 5, "v5"},
		{9, renamed("v9"), "", 9, "v9"},
		{5, renamed("v5"), "", 9, "v9"},
	}
	for i, s := range steps {
		res := m.Apply(declared(t, s.version, s.edit))
		if res.Code != s.code || m.Version() != s.current || m.Record().Routes[0].Name != s.route {
			t.Errorf("step %d: code %q, version %d, route %q", i, res.Code, m.Version(), m.Record().Routes[0].Name)
		}
	}
	again := NewMachine(1)
	if err := again.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if again.Version() != 9 || again.Record().Routes[0].Name != "v9" {
		t.Errorf("version %d after restoring a snapshot, want 9 with its record", again.Version())
	}
}

func TestEvacuations(t *testing.T) {
	m := NewMachine(1)
	for i, s := range []struct {
		cmd      *pb.Command
		want     int
		revision uint64
	}{
		{&pb.Command{Evacuate: "b"}, 1, 1}, {&pb.Command{Evacuate: "b"}, 1, 1}, {&pb.Command{Evacuate: "a"}, 2, 2},
		{&pb.Command{Restore: "b"}, 1, 3}, {&pb.Command{Restore: "b"}, 1, 3}, {&pb.Command{Restore: "c"}, 1, 3},
	} {
		m.Apply(s.cmd)
		if domains, revision := m.Evacuated(); len(domains) != s.want || revision != s.revision {
			t.Errorf("step %d: evacuated domains %v, revision %d", i, domains, revision)
		}
	}
	again := NewMachine(1)
	if err := again.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if domains, revision := again.Evacuated(); len(domains) != 1 || domains[0] != "a" || revision != 3 {
		t.Errorf("after restoring a snapshot: evacuated domains %v, revision %d; want [a], 3", domains, revision)
	}
}
