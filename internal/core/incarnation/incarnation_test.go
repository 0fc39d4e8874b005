package incarnation

import "testing"

// TestCompare is the contract: which start holds, by what was known before.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  []int64 // starts in the order in which they were taken
		start  int64
		silent bool
		want   Order
	}{
		{"first", nil, 5, false, Same},
		{"the known one", []int64{5}, 5, false, Same},
		{"later clock", []int64{5}, 9, false, Newer},
		{"earlier clock while the known one is heard", []int64{9}, 5, false, Older},
		{"earlier clock, the known one silent", []int64{9}, 5, true, Newer},
		{"replaced before", []int64{5, 9}, 5, true, Older},
		{"replaced before by a clock set back", []int64{9, 5}, 9, true, Older},
		{"not told", []int64{5}, 0, true, Same},
		{"told for the first time", []int64{0}, 5, false, Same},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			for _, start := range c.known {
				h.Advance(start)
			}
			if got := h.Compare(c.start, c.silent); got != c.want {
				t.Errorf("order %d, want %d", got, c.want)
			}
		})
	}
}

// TestKeysDiffer checks that a restart has a key of its own and an untold start the ID's.
func TestKeysDiffer(t *testing.T) {
	if Key("a", 1) == Key("a", 2) || Key("a", 0) == Key("a", 1) {
		t.Error("two starts share a key")
	}
}
