package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func members(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.1.0.%d:7300", i))
	}
	return out
}

func TestFirstOfNone(t *testing.T) {
	if got := First("k", nil); got != "" {
		t.Errorf("got %q", got)
	}
}

// TestKeysMoveWithTheirMember takes a member away: only its keys have another one, in
// whatever order the members are named.
func TestKeysMoveWithTheirMember(t *testing.T) {
	all := members(4)
	without := slices.Clone(all[:3])
	slices.Reverse(without)
	held := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("host-", i)
		before, after := First(key, all), First(key, without)
		held[before]++
		if before != all[3] && after != before {
			t.Fatalf("%s moved from %s to %s though %s went", key, before, after, all[3])
		}
	}
	for _, m := range all {
		if held[m] < 200 || held[m] > 300 {
			t.Errorf("%s holds %d of 1000 keys", m, held[m])
		}
	}
}
