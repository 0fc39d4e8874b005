package entry

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/app/forward"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestForwardCarriesAnyBytes guards against requests and kept answers that no message between hosts can carry, because
// a caller or a server sent bytes that are not valid UTF-8.
func TestForwardCarriesAnyBytes(t *testing.T) {
	const raw = "caf\xe9"
	h := newTestHost(t, &fakeBackends{}, noPeers{})
	v := h.config.Load()
	x := &execution{r: &Request{ID: "r", Team: "t", Method: http.MethodPost, URI: "/x?q=" + raw, Header: http.Header{"X-Note": {raw}}}, view: v}
	sent := h.forwardMessage(x)
	data, err := proto.Marshal(sent)
	got := new(pb.Forward)
	if err == nil {
		err = proto.Unmarshal(data, got)
	}
	if err != nil {
		t.Fatal(err)
	}
	if r := h.forwardedRequest(v, got, nil); r.URI != x.r.URI || r.Header.Get("X-Note") != raw {
		t.Errorf("received as %q, %v", r.URI, r.Header)
	}
	answer := h.answerOf(x, &captureSink{head: Head{Status: http.StatusOK, Header: http.Header{"X-Note": {raw}}}})
	if _, err := proto.Marshal(answer); err != nil {
		t.Errorf("the kept answer: %s", err)
	}
	if note := forward.ReadHeaders(answer.Headers).Get("X-Note"); note != raw {
		t.Errorf("the kept answer has %q", note)
	}
}
