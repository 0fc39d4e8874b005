package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand"
	"net/http"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
)

// Announcer sends a stand-in's announcements to the entry hosts of its failure domain.
type Announcer struct {
	ID       string
	Base     backendhttp.Announcement // the fields that stay the same in each announcement
	Load     func(*backendhttp.Announcement)
	Changes  func() (added, evicted []uint64) // cache events; may be nil
	Entries  []string                         // URLs of entry hosts, the next to be used first
	Key      string
	Interval time.Duration
	Lag      time.Duration // age of the announced load
	GapShare float64       // fraction of cache event batches that are dropped, 0 to 1
	Seed     int64
	Client   *http.Client

	leaving bool
	history []backendhttp.Announcement
	events  uint64
}

// Run sends an announcement every Interval until ctx ends, then one with Leaving set.
func (a *Announcer) Run(ctx context.Context) {
	rnd := rand.New(rand.NewSource(a.Seed))
	a.Base.Incarnation = uint64(time.Now().UnixMilli())
	t := time.NewTicker(a.Interval)
	defer t.Stop()
	for {
		a.announce(context.Background())
		if a.Changes != nil {
			a.cacheEvents(rnd)
		}
		select {
		case <-ctx.Done():
			a.leaving = true
			a.announce(context.Background())
			return
		case <-t.C:
		}
	}
}

// announce sends one announcement to the first entry host that accepts it.
func (a *Announcer) announce(ctx context.Context) {
	a.Base.Sequence++
	now := a.Base
	now.Models = append([]string(nil), a.Base.Models...)
	a.Load(&now)
	a.history = append(a.history, now)
	lagged := a.history[max(0, len(a.history)-1-int(a.Lag/a.Interval))]
	if len(a.history) > 64 {
		a.history = a.history[32:]
	}
	now.Running, now.Queued, now.QueuedTokens = lagged.Running, lagged.Queued, lagged.QueuedTokens
	now.Leaving = a.leaving
	for i, e := range a.Entries {
		var reply backendhttp.AnnouncementReply
		if !a.post(ctx, e+"/v1/backend-servers/"+a.ID+"/announcement", now, &reply) {
			continue
		}
		a.reorderEntries(i, reply.AnnounceTo)
		return
	}
}

// reorderEntries moves the entry hosts that the reply names to the front, in the reply's order,
// which distributes the servers over the hosts. If the reply names none, the host that accepted
// the announcement is used first.
func (a *Announcer) reorderEntries(accepted int, to []string) {
	if len(to) == 0 {
		a.Entries[0], a.Entries[accepted] = a.Entries[accepted], a.Entries[0]
		return
	}
	named := map[string]bool{}
	order := append([]string(nil), to...)
	for _, e := range order {
		named[e] = true
	}
	for _, e := range a.Entries {
		if !named[e] {
			order = append(order, e)
		}
	}
	a.Entries = order
}

func (a *Announcer) cacheEvents(rnd *rand.Rand) {
	added, evicted := a.Changes()
	if len(added)+len(evicted) == 0 {
		return
	}
	a.events++
	if rnd.Float64() < a.GapShare {
		return
	}
	e := backendhttp.CacheEvents{Sequence: a.events, Added: added, Evicted: evicted}
	a.post(context.Background(), a.Entries[0]+"/v1/backend-servers/"+a.ID+"/cache-events", e, nil)
}

const announceTimeout = 500 * time.Millisecond

func (a *Announcer) post(ctx context.Context, url string, body, reply any) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	resp, err := a.Client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	if reply != nil {
		_ = json.NewDecoder(resp.Body).Decode(reply)
	}
	return true
}
