// Package port declares what the use cases need from the outside. Adapters
// implement these interfaces; tests use small fakes.
package port

import (
	"context"
	"io"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Journal makes a replica's state durable.
type Journal interface {
	// Append returns after the record is synced. After an error the journal
	// refuses everything: what is on the disk is not known any more.
	Append(*pb.JournalRecord) error
	// SaveSnapshot makes the snapshot durable and replaces the records by tail.
	SaveSnapshot(s *pb.SnapshotFile, tail *pb.JournalRecord) error
	// Close releases the journal.
	Close() error
}

// QuotaStore keeps what a control host may have given out of the teams' quotas.
type QuotaStore interface {
	// Save returns after the state is synced in the place of the one before.
	Save(*pb.QuotaState) error
	// Load returns what was last saved; nil when nothing was.
	Load() (*pb.QuotaState, error)
}

// Identity names a store. It is written once, when the data folder is formatted.
type Identity struct {
	Format uint32 `json:"format"`
	Group  string `json:"group"` // control group and its generation
	Store  string `json:"store"` // replica ID in the control group
	Host   string `json:"host"`
	// Founders are the group's first members as this store was told them. They
	// are kept here because the settings may name other hosts later.
	Founders []Founder `json:"founders,omitempty"`
}

// Founder is one of a group's first members.
type Founder struct {
	Store   string `json:"store"`
	Address string `json:"address"`
}

// JournalState is what a journal held when it was opened.
type JournalState struct {
	Identity  Identity
	HardState *pb.HardState
	Snapshot  *pb.SnapshotFile // nil when none was saved
	Entries   []*pb.RaftEntry
	CutBytes  int64 // length of a torn tail that was cut off
}

// Peers sends messages to other hosts by address.
type Peers interface {
	// Call sends a request and waits for its response.
	Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error)
	// Open starts a forward. sent tells whether any byte of the request may
	// have reached the other host when err is not nil.
	Open(ctx context.Context, addr string, req *pb.Request, body []byte) (s ForwardStream, sent bool, err error)
}

// ForwardStream carries the frames of a forwarded request's answer.
type ForwardStream interface {
	Recv() (*pb.ForwardFrame, error)
	Close() error
}

// IncomingStream is a forward that another host sent here.
type IncomingStream interface {
	// Body reads the body that follows the forward.
	Body(size, limit uint64) ([]byte, error)
	// Send writes a frame of the answer.
	Send(*pb.ForwardFrame) error
	// Gone returns a context that ends when the other host closes the stream. No
	// reads may follow.
	Gone(context.Context) (context.Context, context.CancelFunc)
}

// PeerHandler answers other hosts. HandleForward writes its answer to the stream;
// every other request returns a response.
type PeerHandler interface {
	HandleRequest(ctx context.Context, req *pb.Request) *pb.Response
	HandleForward(ctx context.Context, req *pb.Request, s IncomingStream)
}

// Metrics counts, and measures times.
type Metrics interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// GaugedMetrics are metrics that also ask for values when they are read.
type GaugedMetrics interface {
	Metrics
	Gauge(name string, f func() any)
}

// DirectoryEntry is one entry host in the platform's client directory.
type DirectoryEntry struct {
	ID            string `json:"id"`
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Directory is the platform's directory for clients.
type Directory interface {
	Publish(ctx context.Context, region string, hosts []DirectoryEntry, ttl time.Duration) error
}

// Order is an order to a model engine.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"` // "load", "unload" or "role"
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Engines gives orders to model engines.
type Engines interface {
	// Order returns whether the engine checked the fencing number.
	Order(ctx context.Context, address string, o Order) (checked bool, err error)
}

// BackendCall is one attempt at a backend server.
type BackendCall struct {
	Address      string
	Method       string
	URI          string
	Header       map[string][]string
	Body         []byte
	ResumeTokens int
	AttemptID    string
}

// BackendAnswer is the head of a backend server's answer with its body.
type BackendAnswer struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
	// Refused is set when the server states that it did not start the request.
	Refused bool
}

// Backends calls backend servers. sent tells whether any byte of the request
// may have reached the server when err is not nil.
type Backends interface {
	Do(ctx context.Context, c BackendCall) (a *BackendAnswer, sent bool, err error)
}

// Listening is what an address says to a new connection.
type Listening int

// Answers to a new connection.
const (
	NoAnswer Listening = iota // the host is down, or the way there is cut
	Accepts                   // a process listens
	Refuses                   // the host answers, and no process listens
)

// String implements fmt.Stringer.
func (l Listening) String() string {
	return [...]string{"no answer", "accepts", "refuses"}[l]
}

// ListenProbe asks whether a process listens at an address.
type ListenProbe interface {
	Listening(ctx context.Context, addr string) Listening
}
