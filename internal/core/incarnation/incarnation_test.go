package incarnation

import "testing"

// TestCompare compares a reported start with the starts recorded before it.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name           string
		recorded       []int64 // starts in the order in which they became current
		start          int64
		currentExpired bool
		want           Order
	}{
		{"no start recorded", nil, 5, false, Same},
		{"same as the current start", []int64{5}, 5, false, Same},
		{"later than the current start", []int64{5}, 9, false, Newer},
		{"earlier than a current start that has not expired", []int64{9}, 5, false, Older},
		{"earlier than a current start that has expired", []int64{9}, 5, true, Newer},
		{"replaced by a later start", []int64{5, 9}, 5, true, Older},
		{"replaced by an earlier start after the clock was set back", []int64{9, 5}, 9, true, Older},
		{"start not reported", []int64{5}, 0, true, Same},
		{"start reported for the first time", []int64{0}, 5, false, Same},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			for _, start := range c.recorded {
				h.Advance(start)
			}
			if got := h.Compare(c.start, c.currentExpired); got != c.want {
				t.Errorf("order %d, want %d", got, c.want)
			}
		})
	}
}

// TestKeysDiffer checks that two starts of a server have different keys, and that a start
// that was not reported shares no key with one that was.
func TestKeysDiffer(t *testing.T) {
	if Key("a", 1) == Key("a", 2) || Key("a", 0) == Key("a", 1) {
		t.Error("two starts share a key")
	}
}
