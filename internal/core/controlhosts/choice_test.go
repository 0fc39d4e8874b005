package controlhosts

import (
	"fmt"
	"testing"
	"time"
)

var noon = time.Unix(1000, 0)

// domainOf returns n control hosts of a failure domain, all named.
func domainOf(domain string, n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Address: fmt.Sprintf("%s.%d", domain, i), Domain: domain, Named: true})
	}
	return out
}

func chosen(t *testing.T, host string, list []Candidate) string {
	t.Helper()
	got := Choose(host, list, noon)
	if len(got) != 1 {
		t.Fatalf("%d chosen of one failure domain", len(got))
	}
	return got[0].Address
}

func TestChooseOnePerFailureDomain(t *testing.T) {
	list := append(domainOf("a", 4), domainOf("b", 4)...)
	list = append(list, Candidate{Address: "x"}, Candidate{Address: "y"})
	domains := map[string]int{}
	for _, c := range Choose("h", list, noon) {
		domains[c.Domain]++
	}
	if domains["a"] != 1 || domains["b"] != 1 || domains[""] != 2 || len(domains) != 3 {
		t.Errorf("chosen by failure domain: %v", domains)
	}
}

// TestChoiceMoves changes what is known of the chosen one and of the others.
func TestChoiceMoves(t *testing.T) {
	list := domainOf("a", 4)
	first := chosen(t, "h", list)
	edit := func(f func(c *Candidate)) []Candidate {
		out := append([]Candidate(nil), list...)
		for i := range out {
			f(&out[i])
		}
		return out
	}
	avoided := noon.Add(time.Millisecond)
	cases := []struct {
		name  string
		list  []Candidate
		stays bool
	}{
		{"nothing changes", list, true},
		{"it does not answer", edit(func(c *Candidate) {
			if c.Address == first {
				c.AvoidUntil = avoided
			}
		}), false},
		{"it did not answer long ago", edit(func(c *Candidate) {
			if c.Address == first {
				c.AvoidUntil = noon
			}
		}), true},
		{"none answers", edit(func(c *Candidate) { c.AvoidUntil = avoided }), true},
		{"it is not named any more", edit(func(c *Candidate) { c.Named = c.Address != first }), false},
		{"none is named", edit(func(c *Candidate) { c.Named = false }), true},
		{"another is lost", edit(func(c *Candidate) {
			if c.Address != first {
				c.Named, c.AvoidUntil = false, avoided
			}
		}), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := chosen(t, "h", c.list); (got == first) != c.stays {
				t.Errorf("chosen %s, before %s", got, first)
			}
		})
	}
}

// TestControlHostsShareTheEntryHosts counts the presentations to each of 24 control hosts by
// 986 entry hosts that know all of them: as many as with one in each failure domain, shared
// evenly. Each entry host once presented itself to all.
func TestControlHostsShareTheEntryHosts(t *testing.T) {
	const hosts, perDomain = 986, 4
	var list []Candidate
	domains := []string{"a", "b", "c", "d", "e", "f"}
	for _, d := range domains {
		list = append(list, domainOf(d, perDomain)...)
	}
	held, all := map[string]int{}, 0
	for i := range hosts {
		for _, c := range Choose(fmt.Sprint("host-", i), list, noon) {
			held[c.Address]++
			all++
		}
	}
	if all != hosts*len(domains) {
		t.Errorf("%d chosen, want %d", all, hosts*len(domains))
	}
	for addr, n := range held {
		if n > hosts/perDomain*5/4 {
			t.Errorf("%s is chosen by %d of %d hosts", addr, n, hosts)
		}
	}
}
