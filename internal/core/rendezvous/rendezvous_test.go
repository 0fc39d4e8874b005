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
	if got := Owner("k", nil); got != "" {
		t.Errorf("Owner of no members returned %q, want an empty string", got)
	}
}

// TestKeysMoveWithTheirMember removes a member: only the keys that it owned get another
// owner, whatever the order of the member list.
func TestKeysMoveWithTheirMember(t *testing.T) {
	all := members(4)
	remaining := slices.Clone(all[:3])
	slices.Reverse(remaining)
	keysOwned := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("host-", i)
		before, after := Owner(key, all), Owner(key, remaining)
		keysOwned[before]++
		if before != all[3] && after != before {
			t.Fatalf("%s moved from %s to %s, but the removed member is %s", key, before, after, all[3])
		}
	}
	for _, m := range all {
		if keysOwned[m] < 200 || keysOwned[m] > 300 {
			t.Errorf("%s owns %d of 1000 keys, want 200 to 300", m, keysOwned[m])
		}
	}
}
