package serverload

import (
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

func TestEncodeDecode(t *testing.T) {
	for name, c := range map[string]struct {
		loads Loads
		bytes int
	}{
		"none": {Loads{}, 0},
		"two":  {Loads{7: {Requests: 3, PromptTokens: 900, MemoryTokens: 40_000, PrefillMS: 120, Deferred: 1}, 1 << 31: {Requests: 1}}, 36},
	} {
		t.Run(name, func(t *testing.T) {
			m := Encode(c.loads)
			if got := Decode(m); !maps.Equal(got, c.loads) {
				t.Errorf("got %v, want %v", got, c.loads)
			}
			if got := proto.Size(m); got > c.bytes {
				t.Errorf("%d bytes, want %d at most", got, c.bytes)
			}
		})
	}
}

// TestDecodeShort decodes a message whose lists have different lengths.
func TestDecodeShort(t *testing.T) {
	got := Decode(&pb.ServerLoads{Server: []uint32{1, 2}, Requests: []uint32{5}, Deferred: []uint32{1, 2, 3}})
	if want := (Loads{1: {Requests: 5, Deferred: 1}, 2: {Deferred: 2}}); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestAdd(t *testing.T) {
	sum := Loads{1: {Requests: 1, PromptTokens: 10}}
	sum.Add(Loads{1: {Requests: 2, MemoryTokens: 5, PrefillMS: 3, Deferred: 4}, 2: {Requests: 7}})
	if want := (Loads{1: {3, 10, 5, 3, 4}, 2: {Requests: 7}}); !maps.Equal(sum, want) {
		t.Errorf("got %v, want %v", sum, want)
	}
}

func TestSub(t *testing.T) {
	a, b := Loads{1: {3, 10, 5, 3, 4}, 2: {Requests: 7}}, Loads{1: {Requests: 1, Deferred: 1}, 3: {PrefillMS: 2}}
	sum := maps.Clone(a)
	sum.Add(b)
	sum.Sub(b)
	if !maps.Equal(sum, a) {
		t.Errorf("got %v, want %v", sum, a)
	}
}

// TestWithout subtracts loads that are contained fully, partly or not at all.
func TestWithout(t *testing.T) {
	all := Loads{1: {5, 10, 5, 3, 4}, 2: {Requests: 2}, 3: {Requests: 1}}
	got := all.Without(Loads{1: {Requests: 2, MemoryTokens: 9}, 2: {Requests: 2}, 4: {Requests: 7}})
	if want := (Loads{1: {3, 10, 0, 3, 4}, 3: {Requests: 1}}); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if len(all) != 3 {
		t.Error("Without modified its receiver")
	}
}

// TestTake replaces, deletes and adds loads.
func TestTake(t *testing.T) {
	l := Loads{1: {Requests: 5}, 2: {Requests: 2}}
	l.Apply(Loads{1: {Requests: 4}, 2: {}, 3: {Deferred: 1}, 9: {}})
	if want := (Loads{1: {Requests: 4}, 3: {Deferred: 1}}); !maps.Equal(l, want) {
		t.Errorf("got %v, want %v", l, want)
	}
}
