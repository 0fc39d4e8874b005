package operatorhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
