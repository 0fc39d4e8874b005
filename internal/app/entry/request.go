package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/residency"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Request is one request of a caller, read completely.
type Request struct {
	ID         string
	Team       string
	Weight     float64
	Kind       string // residency kind; empty for the team's default
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
	MaxTokens  float64  // maximum number of output tokens
	Priority   int
	Deadline   time.Time
	Key        string   // idempotency key; empty when none was given
	IssuedMS   int64    // when the key was issued; 0 when not stated
	Resume     int      // tokens that the caller has received already
	Path       []string // hosts that handled the request before this one
	Origin     string   // region where the request entered
}

func (r *Request) residencyQuery() residency.Query {
	return residency.Query{Team: r.Team, Kind: r.Kind, Target: r.Target, Service: r.Service}
}

// forwarded reports whether another entry host sent the request here.
func (r *Request) forwarded() bool { return len(r.Path) > 0 }

// Head is the status and the headers of an answer, with the region and the server that it comes
// from.
type Head struct {
	Status int
	Header http.Header
	Region string
	Server string
}

// Sink receives the answer to one request. Head is called once, before any Data. An answer that
// is not a stream arrives in one Data call.
type Sink interface {
	Head(Head) error
	Data([]byte) error
}

// prefixBlockBytes is the length of the blocks over which prompt prefixes are hashed;
// maxPrefixBlocks bounds the number of hashes of a prompt.
const (
	prefixBlockBytes = 1024
	maxPrefixBlocks  = 64
)

// PrefixChain returns the hashes of the prompt's prefixes, shortest first; each prefix is one
// block longer. Engines that announce cached prefixes compute the same hashes.
func PrefixChain(model, prompt string) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	var out []uint64
	for len(prompt) >= prefixBlockBytes && len(out) < maxPrefixBlocks {
		_, _ = d.WriteString(prompt[:prefixBlockBytes])
		out = append(out, d.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return out
}

// bytesPerToken is the assumed mean length of a token of text.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a text.
func EstimateTokens(text string) float64 { return float64(len(text)) / bytesPerToken }

// checkResidency returns the regions that the residency rules permit for the request. If this
// host's region is not among them, it returns a failure that lists the entry hosts of the
// permitted regions.
func (h *Host) checkResidency(v *view, r *Request) ([]string, *failure.Error) {
	permitted, err := residency.Permitted(v.Record, r.residencyQuery())
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
