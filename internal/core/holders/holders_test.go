package holders

import (
	"slices"
	"testing"
	"time"
)

func places(n, from int) []Place {
	var out []Place
	for i := range n {
		out = append(out, Place{uint32(from + i), uint32(from + i)})
	}
	return out
}

// TestLogFiltersByOrigin adds places from two entry hosts and from a control host, and checks
// what each reader gets.
func TestLogFiltersByOrigin(t *testing.T) {
	var l Log
	l.Add("a", places(2, 10))
	l.Add("b", places(1, 20))
	l.Add("", places(1, 30))
	got, next := l.ForHost("a", 0)
	if !slices.Equal(got, append(places(1, 20), places(1, 30)...)) {
		t.Errorf("places for host a: %v", got)
	}
	if again, _ := l.ForHost("a", next); len(again) != 0 {
		t.Errorf("places for host a a second time: %v", again)
	}
	if direct, _ := l.FromEntryHosts(0); !slices.Equal(direct, append(places(2, 10), places(1, 20)...)) {
		t.Errorf("places for control hosts: %v", direct)
	}
}

// TestLogIsBounded reads from a position before the oldest entry and from one of another process.
func TestLogIsBounded(t *testing.T) {
	var l Log
	l.Add("a", places(maxLogEntries+100, 0))
	got, next := l.ForHost("b", 5)
	if len(got) != maxLogEntries || got[0].Chain != 100 || next != maxLogEntries+100 {
		t.Errorf("%d places from %d, next %d", len(got), got[0].Chain, next)
	}
	if got, _ := l.ForHost("b", next+999); len(got) != maxLogEntries {
		t.Errorf("a position of another process gives %d places", len(got))
	}
}

func TestTableKeepsTheNewestHolders(t *testing.T) {
	table, t0 := NewTable(), time.Unix(100, 0)
	for i := range maxHoldersPerChain + 2 {
		table.Record(Place{1, uint32(i)}, t0.Add(time.Duration(i)*time.Second))
	}
	table.Record(Place{1, 3}, t0.Add(time.Minute))
	list := table.Holders(1)
	if len(list) != maxHoldersPerChain || list[0].Server != 2 || list[maxHoldersPerChain-1].Server != 3 {
		t.Errorf("holders %v", list)
	}
	table.Expire(t0.Add(time.Minute + holderTTL))
	if len(table.Holders(1)) == 0 {
		t.Error("a chain in use was dropped")
	}
	table.Expire(t0.Add(2 * time.Minute))
	if len(table.Holders(1)) != 0 {
		t.Error("an expired chain was kept")
	}
}

// TestInRegionReplacesServers checks that InRegion returns each chain once, with the region's key.
func TestInRegionReplacesServers(t *testing.T) {
	got := InRegion("west", []Place{{1, 10}, {2, 10}, {1, 11}})
	if want := []Place{{1, Key("west")}, {2, Key("west")}}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
