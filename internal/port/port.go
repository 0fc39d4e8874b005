// Package port declares the interfaces between the use cases and their environment. Adapters
// implement them; tests use small fakes.
package port

import (
	"context"
	"errors"
	"io"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Clock returns the present time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Journal stores a replica's state durably.
type Journal interface {
	// Append returns after the record is synced to disk. After an error the journal rejects all
	// further calls, as the content of the disk is unknown.
	Append(*pb.JournalRecord) error
	// SaveSnapshot stores the snapshot durably and replaces the records by tail.
	SaveSnapshot(s *pb.SnapshotFile, tail *pb.JournalRecord) error
	// Close releases the journal.
	Close() error
}

// QuotaStore stores the units of the teams' quotas that a control host may have granted.
type QuotaStore interface {
	// Save returns after the state is synced to disk and has replaced the previous one.
	Save(*pb.QuotaState) error
	// Load returns the state that was saved last; nil if there is none.
	Load() (*pb.QuotaState, error)
}

// Identity identifies a store. It is written once, when the data directory is formatted.
type Identity struct {
	Format uint32 `json:"format"`
	Group  string `json:"group"` // control group and its generation
	Store  string `json:"store"` // replica ID in the control group
	Host   string `json:"host"`
	// Founders are the group's first members, as given to this store when it was formatted. They
	// are stored because the settings may list other hosts later.
	Founders []Founder `json:"founders,omitempty"`
}

// Founder is one of a group's first members.
type Founder struct {
	Store   string `json:"store"`
	Address string `json:"address"`
}

// JournalState is the content of a journal when it is opened.
type JournalState struct {
	Identity  Identity
	HardState *pb.HardState
	Snapshot  *pb.SnapshotFile // nil if none was saved
	Entries   []*pb.RaftEntry
	CutBytes  int64 // bytes of a torn tail that was cut off
}

// Peers sends messages to other hosts by address.
type Peers interface {
	// Call sends a request and waits for its response.
	Call(ctx context.Context, addr string, req *pb.Request) (*pb.Response, error)
	// Open starts a forward. If err is not nil, sent reports whether any byte of the request may
	// have reached the other host.
	Open(ctx context.Context, addr string, req *pb.Request, body []byte) (s ForwardStream, sent bool, err error)
}

// ForwardStream receives the frames of a forwarded request's answer.
type ForwardStream interface {
	Recv() (*pb.ForwardFrame, error)
	Close() error
}

// IncomingStream is a forward received from another host.
type IncomingStream interface {
	// Body reads the body that follows the forward.
	Body(size, limit uint64) ([]byte, error)
	// Send sends a frame of the answer.
	Send(*pb.ForwardFrame) error
	// CancelOnClose returns a context that is canceled when the other host closes the stream. The
	// stream must not be read afterwards.
	CancelOnClose(context.Context) (context.Context, context.CancelFunc)
}

// PeerHandler handles requests of other hosts. HandleForward writes its answer to the stream; for
// every other request HandleRequest returns a response.
type PeerHandler interface {
	HandleRequest(ctx context.Context, req *pb.Request) *pb.Response
	HandleForward(ctx context.Context, req *pb.Request, s IncomingStream)
}

// Metrics records counts and durations.
type Metrics interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// GaugedMetrics are Metrics with values that are computed when they are read.
type GaugedMetrics interface {
	Metrics
	Gauge(name string, f func() any)
}

// DirectoryEntry is one entry host in the platform's directory.
type DirectoryEntry struct {
	ID            string `json:"id"`
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Directory is the platform's directory of entry hosts for callers.
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

// Engines sends orders to model engines.
type Engines interface {
	// Order reports whether the engine checked the fencing number.
	Order(ctx context.Context, address string, o Order) (checked bool, err error)
}

// BackendCall is one attempt to send a request to a backend server.
type BackendCall struct {
	Address      string
	Method       string
	URI          string
	Header       map[string][]string
	Body         []byte
	ResumeTokens int
	AttemptID    string
	// MaySend is evaluated when a connection has been opened for the call. If it returns false, the call fails
	// with ErrWithheld before anything is sent. Nil for always.
	MaySend func() bool
}

// ErrWithheld is the error of a call whose MaySend returned false.
var ErrWithheld = errors.New("the server left or asked for a pause before the request was sent")

// BackendAnswer is the head of a backend server's answer with its body.
type BackendAnswer struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
	// OpenEnded is set if the body has neither a length nor chunks, so that it ends with its connection.
	OpenEnded bool
	// Refused is set if the server states that it did not start the request.
	Refused bool
	// Pause is the time in which the server wants no requests of this host; 0 if it names none.
	Pause time.Duration
	// InvalidPause is the text of such a time that cannot be decoded, cut short; "" otherwise.
	InvalidPause string
	// Leaving is set if the answer says that the server's process leaves.
	Leaving bool
}

// Backends sends requests to backend servers. If err is not nil, sent reports whether any byte of
// the request may have reached the server.
type Backends interface {
	Do(ctx context.Context, c BackendCall) (a *BackendAnswer, sent bool, err error)
}

// Listening is the result of opening a connection to an address.
type Listening int

// Results of opening a connection.
const (
	NoAnswer Listening = iota // the host is down or cannot be reached
	Accepts                   // a process listens
	Refuses                   // the host answers, and no process listens
)

// String implements fmt.Stringer.
func (l Listening) String() string {
	return [...]string{"no answer", "accepts", "refuses"}[l]
}

// ListenProbe checks whether a process listens at an address.
type ListenProbe interface {
	Listening(ctx context.Context, addr string) Listening
}
