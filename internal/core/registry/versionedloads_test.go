package registry

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// TestReadersOfSums changes parts of a sum and reads the changes at different times. A reader that
// applies the changes to its copy has the sum.
func TestReadersOfSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := newVersionedLoads()
		parts := make([]serverload.Loads, 3)
		type reader struct {
			have    serverload.Loads
			version uint64
		}
		readers := make([]reader, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "changes") {
				i := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
				next := serverload.Loads{}
				for key := range uint32(4) {
					if n := rapid.Uint32Range(0, 3).Draw(t, fmt.Sprint("requests at ", key)); n > 0 {
						next[key] = serverload.Load{Requests: n, PrefillMS: 7 * n}
					}
				}
				sum.replace(parts[i], next)
				parts[i] = next
			}
			if n := rapid.IntRange(0, 5).Draw(t, "dropped"); n > 0 && n <= len(sum.log) {
				sum.trim(n)
			}
			want := serverload.Loads{}
			for _, p := range parts {
				want.Add(p)
			}
			if got := sum.all(); !maps.Equal(got, want) {
				t.Fatalf("the sum is %v, want %v", got, want)
			}
			r := &readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			changed, complete := sum.since(r.version)
			if !complete || r.have == nil {
				r.have, changed = serverload.Loads{}, sum.all()
			}
			r.have.Apply(changed)
			r.version = sum.version
			if !maps.Equal(r.have, want) {
				t.Fatalf("a reader has %v, want %v", r.have, want)
			}
		}
	})
}

// TestChangeLogOfLoadsIsBounded checks that changes beyond the bound are dropped, together with the
// keys whose load is zero.
func TestChangeLogOfLoadsIsBounded(t *testing.T) {
	sum := newVersionedLoads()
	for key := range uint32(maxLoadChanges) {
		sum.replace(nil, serverload.Loads{key: {Requests: 1}})
		sum.replace(serverload.Loads{key: {Requests: 1}}, nil)
	}
	if len(sum.log) > maxLoadChanges || len(sum.cells) > maxLoadChanges/2+1 {
		t.Errorf("%d changes and %d keys are held", len(sum.log), len(sum.cells))
	}
	if _, complete := sum.since(1); complete {
		t.Error("complete, though the second change was dropped")
	}
}
