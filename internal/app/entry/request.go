package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/residency"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Request is one request of a caller, read whole.
type Request struct {
	ID         string
	Team       string
	Weight     float64
	Kind       string // residency kind; empty for the team's own
	Target     string // model or service
	Service    bool
	Idempotent bool
	Method     string
	URI        string // path and query at the backend server
	Header     http.Header
	Body       []byte
	Stream     bool
	Prefixes   []uint64 // chain of prompt prefix hashes
	Tokens     float64  // estimated prompt tokens
	MaxTokens  float64  // tokens asked for
	Priority   int
	Deadline   time.Time
	Key        string   // idempotency key; empty when none was given
	IssuedMS   int64    // when the key was issued; 0 when not stated
	Resume     int      // tokens that the caller has already
	Path       []string // hosts that handled the request before this one
	Origin     string   // region where the caller entered
}

func (r *Request) query() residency.Query {
	return residency.Query{Team: r.Team, Kind: r.Kind, Target: r.Target, Service: r.Service}
}

// forwarded reports whether another entry host sent the request here.
func (r *Request) forwarded() bool { return len(r.Path) > 0 }

// Head is the start of an answer.
type Head struct {
	Status int
	Header http.Header
	Region string
	Server string
}

// Sink takes the answer to one request. Head is called once before any Data.
// A whole answer that is not a stream arrives in one Data call.
type Sink interface {
	Head(Head) error
	Data([]byte) error
}

// prefixBlock is the length in bytes of the blocks over which prompt prefixes
// are hashed; maxPrefixBlocks bounds the chain.
const (
	prefixBlock     = 1024
	maxPrefixBlocks = 64
)

// PrefixChain returns the hashes of the prompt's prefixes, shortest first: each
// covers one more block. Engines that announce cached prefixes use the same chain.
func PrefixChain(model, prompt string) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	var out []uint64
	for len(prompt) >= prefixBlock && len(out) < maxPrefixBlocks {
		_, _ = d.WriteString(prompt[:prefixBlock])
		out = append(out, d.Sum64())
		prompt = prompt[prefixBlock:]
	}
	return out
}

// bytesPerToken is the assumed length of a token of text.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a text.
func EstimateTokens(text string) float64 { return float64(len(text)) / bytesPerToken }

// residencyHere checks that this host's region may handle the request, and
// returns the permitted regions. Elsewhere the caller is told where to go.
func (h *Host) residencyHere(v *view, r *Request) ([]string, *failure.Error) {
	permitted, err := residency.Permitted(v.Record, r.query())
	if err != nil {
		return nil, failure.As(err, failure.NotRun)
	}
	for _, region := range permitted {
		if region == h.o.Region {
			return permitted, nil
		}
	}
	var hosts []string
	for _, e := range h.EntryHosts(r.Team) {
		for _, region := range permitted {
			if e.Region == region {
				hosts = append(hosts, e.Caller)
			}
		}
	}
	return nil, failure.New(failure.Residency, failure.NotRun,
		"requests of this kind may not be handled in region %s", h.o.Region).WithEntryHosts(hosts)
}
