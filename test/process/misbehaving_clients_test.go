package process_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/test/crowd"
)

const (
	// crowdMemoryMB is the memory of each process, in MiB. What a process holds, and its sockets for it, must stay below it.
	crowdMemoryMB = 144
	crowdNet      = 39 // second octet of the addresses
	crowdTimeout  = 20 * time.Second
)

// TestMisbehavingClients guards against clients of the product's own interface that make a host hold more than its memory,
// or keep it from serving others: callers, backend servers and operators. The largest body is 8 MiB.
func TestMisbehavingClients(t *testing.T) {
	f := newFleet(t, shape{net: crowdNet, regions: [][]string{{"a", "b", "c"}}, engines: 1, hostsIn: func(int) int { return 1 }, memoryMB: crowdMemoryMB})
	const (
		mib           = 1 << 20
		service       = "/v1/services/shop/orders"
		announcement  = "/v1/backend-servers/crowd/announcement"
		callers       = ":8080"
		operators     = ":8081"
		debug         = ":9090"
		entry, keeper = "a1", "c-a1"
	)
	post, put := http.MethodPost, http.MethodPut
	for _, c := range []struct {
		process, key string
		crowd.Crowd
	}{
		{entry, teamKey, crowd.New("bodies, all but a byte", 60, callers, service, crowd.Announce(post, 4*mib, 1))},
		{entry, teamKey, crowd.New("whole bodies", 60, callers, service, crowd.Announce(post, 4*mib, 0))},
		{entry, teamKey, crowd.New("chats in chunks without an end", 60, callers, "/v1/chat/completions", crowd.Chunks(post, 4*mib, 64<<10, ""))},
		{entry, teamKey, crowd.New("far over the limit", 160, callers, service, crowd.Announce(post, 64*mib, 60*mib))},
		{entry, "nobody", crowd.New("no team, all but a byte", 60, callers, service, crowd.Announce(post, 4*mib, 1))},
		{entry, teamKey, crowd.New("heads without an end", 240, callers, service, crowd.UnendedHead(512<<10))},
		{entry, teamKey, crowd.New("no byte", 2000, callers, "", crowd.Silent)},
		{entry, backendKey, crowd.New("announcements, all but a byte", 900, callers, announcement, crowd.Announce(post, 250<<10, 1))},
		{entry, opKey, crowd.New("heads at the debug address", 240, debug, "/v1/config", crowd.UnendedHead(512<<10))},
		{keeper, opKey, crowd.New("records, all but a byte", 30, operators, "/v1/config", crowd.Announce(put, 8*mib, 1))},
		{keeper, opKey, crowd.New("records in chunks without an end", 30, operators, "/v1/config", crowd.Chunks(put, 7*mib, 64<<10, ""))},
		{keeper, opKey, crowd.New("heads of operators without an end", 240, operators, "/v1/config", crowd.UnendedHead(512<<10))},
	} {
		t.Run(c.process+" "+c.Name, func(t *testing.T) {
			f.kill(c.process)
			f.restart(c.process)
			ip := f.hosts[0].ip
			f.awaitOrdinary(t, c.process, "after its start")
			pid := f.proc(c.process).Process.Pid
			u := crowd.Watch(pid, ip)
			defer u.End()
			p := c.Arrive(t.Context(), ip+c.Port, crowdTimeout, func() *crowd.Client {
				return &crowd.Client{ID: c.Name, Path: c.Path, Header: func(string) string {
					return fmt.Sprintf("Host: crowd\r\nAuthorization: Bearer %s\r\nSesame-Deadline-Ms: 60000\r\n", c.key)
				}}
			})
			f.awaitOrdinary(t, c.process, "while the crowd is there")
			p.Leave()
			f.awaitOrdinary(t, c.process, "after the crowd has left")
			u.End()
			t.Logf("at most %d MB resident, %d MB unread, %d descriptors; answers by status: %v", u.Peak>>20, u.Unread>>20, u.Files, p.Statuses)
			if used := u.Peak + u.Unread; used > crowdMemoryMB<<20 {
				t.Errorf("%d MB of %d are used", used>>20, crowdMemoryMB)
			}
			if crowd.PeakBytes(pid) == 0 {
				t.Error("the process ended")
			}
		})
	}
}

// awaitOrdinary waits until a process answers each kind of ordinary call that it serves.
func (f *fleet) awaitOrdinary(t *testing.T, process, when string) {
	t.Helper()
	ip := f.hosts[0].ip
	calls := map[string][4]string{
		"a list of models": {http.MethodGet, "http://" + ip + ":8080/v1/models", teamKey, ""},
		"a chat":           {http.MethodPost, "http://" + ip + ":8080/v1/chat/completions", teamKey, `{"model":"chat","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`},
	}
	if strings.HasPrefix(process, "c-") {
		calls = map[string][4]string{"a read of the record": {http.MethodGet, "http://" + ip + ":8081/v1/config", opKey, ""}}
	}
	for name, c := range calls {
		for deadline := time.Now().Add(crowdTimeout); !answers(t.Context(), c[0], c[1], c[2], c[3]); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s is not served %s", name, when)
			}
		}
	}
}

// answers makes a call on a new connection and reports whether it succeeds.
func answers(ctx context.Context, method, url, key, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// TestLargestBodyIsServed guards against limits that callers inside the settings' limits meet: bodies of 8 MiB, one after
// the other.
func TestLargestBodyIsServed(t *testing.T) {
	f := newFleet(t, shape{net: crowdNet, regions: [][]string{{"a", "b", "c"}}, engines: 1, hostsIn: func(int) int { return 1 }, memoryMB: crowdMemoryMB})
	const largest, head, tail = 8 << 20, `{"reference":"`, `"}`
	body := head + strings.Repeat("x", largest-len(head)-len(tail)) + tail
	for n := range 5 {
		if !answers(t.Context(), http.MethodPost, f.hosts[0].url()+"/v1/services/shop/lookup", teamKey, body) {
			t.Errorf("body %d of %d bytes is not served", n, largest)
		}
	}
}
