package controlhosts

import (
	"fmt"
	"testing"
	"time"
)

var testNow = time.Unix(1000, 0)

// liveCandidates returns n candidates of a failure domain, all named and none avoided.
func liveCandidates(domain string, n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Address: fmt.Sprintf("%s.%d", domain, i), Domain: domain, ReportedLive: true})
	}
	return out
}

func chooseOne(t *testing.T, host string, list []Candidate) string {
	t.Helper()
	got := Choose(host, list, testNow)
	if len(got) != 1 {
		t.Fatalf("%d control hosts chosen in one failure domain, want 1", len(got))
	}
	return got[0].Address
}

func TestChooseOnePerFailureDomain(t *testing.T) {
	list := append(liveCandidates("a", 4), liveCandidates("b", 4)...)
	list = append(list, Candidate{Address: "x"}, Candidate{Address: "y"})
	domains := map[string]int{}
	for _, c := range Choose("h", list, testNow) {
		domains[c.Domain]++
	}
	if domains["a"] != 1 || domains["b"] != 1 || domains[""] != 2 || len(domains) != 3 {
		t.Errorf("chosen by failure domain: %v", domains)
	}
}

// TestChoiceMoves checks which changes of the candidates' state move the choice to another
// control host of the failure domain.
func TestChoiceMoves(t *testing.T) {
	list := liveCandidates("a", 4)
	first := chooseOne(t, "h", list)
	edit := func(f func(c *Candidate)) []Candidate {
		out := append([]Candidate(nil), list...)
		for i := range out {
			f(&out[i])
		}
		return out
	}
	avoided := testNow.Add(time.Millisecond)
	cases := []struct {
		name  string
		list  []Candidate
		stays bool
	}{
		{"nothing changes", list, true},
		{"the chosen one did not answer", edit(func(c *Candidate) {
			if c.Address == first {
				c.AvoidUntil = avoided
			}
		}), false},
		{"the avoidance of the chosen one has expired", edit(func(c *Candidate) {
			if c.Address == first {
				c.AvoidUntil = testNow
			}
		}), true},
		{"all are avoided", edit(func(c *Candidate) { c.AvoidUntil = avoided }), true},
		{"the chosen one is no longer named", edit(func(c *Candidate) { c.ReportedLive = c.Address != first }), false},
		{"none is named", edit(func(c *Candidate) { c.ReportedLive = false }), true},
		{"all others are avoided and not named", edit(func(c *Candidate) {
			if c.Address != first {
				c.ReportedLive, c.AvoidUntil = false, avoided
			}
		}), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := chooseOne(t, "h", c.list); (got == first) != c.stays {
				t.Errorf("chose %s, first choice was %s", got, first)
			}
		})
	}
}

// TestControlHostsShareTheEntryHosts lets 986 entry hosts choose among 24 control hosts in six
// failure domains. Each entry host must choose one per failure domain, and the control hosts
// of a failure domain must share the entry hosts evenly. Guards against each entry host
// synchronizing with all control hosts.
func TestControlHostsShareTheEntryHosts(t *testing.T) {
	const hosts, perDomain = 986, 4
	var list []Candidate
	domains := []string{"a", "b", "c", "d", "e", "f"}
	for _, d := range domains {
		list = append(list, liveCandidates(d, perDomain)...)
	}
	held, all := map[string]int{}, 0
	for i := range hosts {
		for _, c := range Choose(fmt.Sprint("host-", i), list, testNow) {
			held[c.Address]++
			all++
		}
	}
	if all != hosts*len(domains) {
		t.Errorf("%d choices in total, want %d", all, hosts*len(domains))
	}
	for addr, n := range held {
		if n > hosts/perDomain*5/4 {
			t.Errorf("%s is chosen by %d of %d entry hosts", addr, n, hosts)
		}
	}
}
