package operatorhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// TestUnreadableReplicaIDIsRefused guards against an order that no message to the leader can carry.
func TestUnreadableReplicaIDIsRefused(t *testing.T) {
	r := httptest.NewRequest(http.MethodPut, "/v1/replicas/x", strings.NewReader(`{"address":"10.0.0.1:7"}`))
	err := (&Handler{}).changeReplica(httptest.NewRecorder(), r, "o", "\xff\xfe")
	if f := failure.As(err, ""); f == nil || f.Code != failure.BadRequest || f.Outcome != failure.NotRun {
		t.Errorf("ended with %v", err)
	}
}

// TestAnswersCloseTheirConnections guards against an order that is refused because its connection has carried another
// call.
func TestAnswersCloseTheirConnections(t *testing.T) {
	for name, h := range map[string]http.Handler{
		"with a key":    New(nil, "", logr.Discard()),
		"without a key": withoutKey(func(http.ResponseWriter, *http.Request, string) error { return nil }),
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/unknown", nil))
		if got := w.Header().Get("Connection"); got != "close" {
			t.Errorf("%s: Connection: %q", name, got)
		}
	}
}
