package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/sesamefork/sesamefork/internal/adapter/operatorhttp"
	"github.com/sesamefork/sesamefork/internal/ctl"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// controlOnly returns the shape of a fleet for tests that use only its control group.
func controlOnly(net int) shape {
	return shape{net: net, regions: [][]string{{"a"}, {"b"}, {"c"}}, engines: 1}
}

func (f *fleet) status() *pb.HostStatus {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var raw json.RawMessage
	st := new(pb.HostStatus)
	if err := f.ctl.Do(ctx, http.MethodGet, "/v1/status", nil, &raw); err != nil {
		return st
	}
	_ = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(raw, st)
	return st
}

// leader waits for a leader and returns the name of its process.
func (f *fleet) leader() string {
	f.t.Helper()
	var name string
	f.await("a leader", func() bool {
		name, _, _ = strings.Cut(f.status().Leader, ".")
		return name != ""
	})
	return name
}

func (f *fleet) current() *operatorhttp.Config {
	f.t.Helper()
	var out *operatorhttp.Config
	f.await("a linearizable read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c, err := f.ctl.Current(ctx)
		out = c
		return err == nil
	})
	return out
}

// recordWithNote returns the record with a note that distinguishes versions.
func (f *fleet) recordWithNote(note string) map[string]any {
	r := f.record()
	r["note"] = note
	return r
}

func (f *fleet) expectNote(note string, version uint64) {
	f.t.Helper()
	c := f.current()
	if c.Version != version || !strings.Contains(string(c.Record), `"note":"`+note+`"`) {
		f.t.Errorf("got version %d with %.80s, want version %d with note %q", c.Version, c.Record, version, note)
	}
}

func TestAcceptedChangeSurvivesKills(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(61))
	leader := f.leader()
	f.apply(1, "one", f.recordWithNote("one"))
	f.kill(leader)
	v := f.apply(2, "two", f.recordWithNote("two"))
	f.expectNote("two", v)
	f.restart(leader)
	for _, c := range f.controls {
		if name := "c-" + c.id; name != leader {
			f.kill(name)
		}
	}
	f.kill(leader)
	for _, c := range f.controls {
		f.restart("c-" + c.id)
	}
	f.expectNote("two", 3)
	if got, err := f.tryApply(2, "two", f.recordWithNote("two")); err != nil || got != 3 {
		t.Errorf("change resent after restarts: version %d, %v; want 3 as in its first answer", got, err)
	}
	if _, err := f.tryApply(2, "two", f.recordWithNote("other")); !failure.Is(err, failure.ChangeIDReused) {
		t.Errorf("another change with a used change_id: %v", err)
	}
	f.awaitVersion(3, f.hosts)
}

func TestFrozenLeaderDoesNotAnswerStale(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(62))
	oldLeader := f.leader()
	var frozen string
	others := []string{}
	for _, c := range f.controls {
		if url := "http://" + c.ip + ":8081"; "c-"+c.id == oldLeader {
			frozen = url
		} else {
			others = append(others, url)
		}
	}
	f.signal(oldLeader, syscall.SIGSTOP)
	f.ctl.BaseURLs = append([]string{frozen}, others...) // the frozen replica is called first
	v := f.apply(1, "while frozen", f.recordWithNote("new"))
	f.signal(oldLeader, syscall.SIGCONT)
	f.ctl.BaseURLs = []string{frozen} // only the resumed replica is called now
	f.expectNote("new", v)
}

func TestEqualVersionsRaceOneWins(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(63))
	base := uint64(1)
	for round := range 10 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		var wins []uint64
		for op := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("r%d-%d", round, op)
				v, err := f.tryApply(base, id, f.recordWithNote(id))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					wins = append(wins, v)
				case !failure.Is(err, failure.VersionConflict) || failure.As(err, "").Version != base+1:
					t.Errorf("rejected change got %v with version %d, want a conflict with version %d", err, failure.As(err, "").Version, base+1)
				}
			}()
		}
		wg.Wait()
		if len(wins) != 1 || wins[0] != base+1 {
			t.Fatalf("round %d on version %d: accepted versions %v, want exactly one", round, base, wins)
		}
		base++
	}
}

func TestLostDataFolderIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(64))
	f.apply(1, "one", f.recordWithNote("one"))
	leader := f.leader()
	var lost host
	for _, c := range f.controls {
		if "c-"+c.id != leader {
			lost = c
		}
	}
	f.kill("c-" + lost.id)
	if err := os.RemoveAll(f.path("data-" + lost.id)); err != nil {
		t.Fatal(err)
	}
	f.restart("c-" + lost.id)
	lostStore := "c-" + lost.id + ".0"
	f.await("the lost replica is reported", func() bool { return f.status().SurvivableLosses == 0 })
	f.await("replaced", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var out map[string]string
		return f.ctl.Do(ctx, http.MethodPut, "/v1/replicas/"+lostStore, operatorhttp.ReplicaBody{Address: lost.ip + ":7101"}, &out) == nil
	})
	st := f.status()
	if st.SurvivableLosses != 1 || len(st.Replicas) != 3 {
		t.Errorf("after the replacement: %d survivable losses with replicas %v", st.SurvivableLosses, st.Replicas)
	}
	for _, r := range st.Replicas {
		if r.Id == lostStore {
			t.Errorf("the lost store %s is still in the group", lostStore)
		}
	}
	// A second host fails right after the replacement.
	f.kill(f.leader())
	v := f.apply(2, "two", f.recordWithNote("two"))
	f.expectNote("two", v)
	f.awaitVersion(v, f.hosts)
}

func TestThousandChangesThenRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(65))
	const changes = 1000
	began := time.Now()
	for v := uint64(1); v < changes; v++ {
		f.apply(v, fmt.Sprintf("n%d", v), f.recordWithNote(fmt.Sprint(v)))
	}
	t.Logf("%d changes in %s", changes, time.Since(began))
	var bytes int64
	for _, c := range f.controls {
		f.kill("c-" + c.id)
		entries, _ := os.ReadDir(f.path("data-" + c.id))
		for _, e := range entries {
			if fi, err := e.Info(); err == nil {
				bytes += fi.Size()
			}
		}
	}
	t.Logf("%d bytes on three disks", bytes)
	if bytes > 8<<20 {
		t.Errorf("%d bytes on three disks after %d changes", bytes, changes)
	}
	began = time.Now()
	for _, c := range f.controls {
		f.restart("c-" + c.id)
	}
	f.expectNote(fmt.Sprint(changes-1), changes)
	t.Logf("first answer %s after the restart of all replicas", time.Since(began))
	if v, err := f.tryApply(500, "n500", f.recordWithNote("500")); err != nil || v != 501 {
		t.Errorf("change 500 resent: version %d, %v; want 501", v, err)
	}
	f.awaitVersion(changes, f.hosts)
}

// TestCutOffRegionCatchesUp accepts changes while a region is cut off, restarts one of the
// region's entry hosts, and restores the links: the region must receive the changes.
func TestCutOffRegionCatchesUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(66))
	f.isolate("c", true)
	v := f.apply(1, "one", f.recordWithNote("one"))
	v = f.apply(v, "two", f.recordWithNote("two"))
	f.awaitVersion(v, f.hosts[:6])
	cut := f.hosts[6:]
	f.kill(cut[0].id)
	f.restart(cut[0].id)
	f.awaitVersion(1, cut) // from the other hosts of its failure domain
	f.isolate("c", false)
	f.awaitVersion(v, cut)
}

// TestFullRestartOfEntryHosts restarts every entry host of a fleet at once.
func TestFullRestartOfEntryHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(67))
	v := f.apply(1, "one", f.recordWithNote("one"))
	f.awaitVersion(v, f.hosts)
	for _, h := range f.hosts {
		f.kill(h.id)
	}
	for _, h := range f.hosts {
		f.restart(h.id)
	}
	f.awaitServing()
	f.awaitVersion(v, f.hosts)
}

// TestAllControlDisksLost deletes every data folder, reads the record from an entry host and forms
// a new generation of the group. Entry hosts must replace the old generation's records, although
// their version numbers are higher.
func TestAllControlDisksLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(68))
	v := uint64(1)
	for _, note := range []string{"one", "two", "three"} {
		v = f.apply(v, note, f.recordWithNote(note))
	}
	f.awaitVersion(v, f.hosts)
	for _, c := range f.controls {
		f.kill("c-" + c.id)
		if err := os.RemoveAll(f.path("data-" + c.id)); err != nil {
			t.Fatal(err)
		}
	}
	var hostConfig struct {
		Version uint64         `json:"version"`
		Record  map[string]any `json:"record"`
	}
	entry := ctl.NewClient("http://"+f.hosts[0].ip+":9090", opKey)
	if err := entry.Do(context.Background(), http.MethodGet, "/v1/config", nil, &hostConfig); err != nil || hostConfig.Version != v {
		t.Fatalf("the entry host holds version %d, error %v", hostConfig.Version, err)
	}
	for _, c := range f.controls {
		name := f.path("c-" + c.id + ".toml")
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		f.write("c-"+c.id+".toml", strings.Replace(string(text), "id = \"test\"", "id = \"test\"\ngeneration = 2", 1))
		f.run(f.control(c), "-format")
		f.restart("c-" + c.id)
	}
	if got := f.apply(0, "again", hostConfig.Record); got != 1 {
		t.Fatalf("version %d in the new generation, want 1", got)
	}
	for _, h := range f.hosts {
		f.await("generation 2 on "+h.id, func() bool {
			var now struct {
				Generation uint64 `json:"generation"`
			}
			c := ctl.NewClient("http://"+h.ip+":9090", opKey)
			return c.Do(context.Background(), http.MethodGet, "/v1/config", nil, &now) == nil && now.Generation == 2
		})
	}
}

// TestFrozenMajorityRefusesAndRecovers freezes two of three control hosts: no change may be
// accepted until they resume.
func TestFrozenMajorityRefusesAndRecovers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, controlOnly(69))
	leader := f.leader()
	for _, c := range f.controls {
		name := "c-" + c.id
		if name == leader {
			f.ctl.BaseURLs = []string{"http://" + c.ip + ":8081"}
			continue
		}
		f.signal(name, syscall.SIGSTOP)
	}
	if _, err := f.tryApply(1, "alone", f.recordWithNote("alone")); err == nil {
		t.Error("a change was accepted without a majority")
	}
	for _, c := range f.controls {
		if name := "c-" + c.id; name != leader {
			f.signal(name, syscall.SIGCONT)
		}
	}
	// The resend is answered with the same version, whether or not the first send took effect.
	if v := f.apply(1, "alone", f.recordWithNote("alone")); v != 2 {
		t.Errorf("version %d, want 2", v)
	}
}
