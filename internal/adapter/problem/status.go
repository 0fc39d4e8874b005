package problem

import (
	"net/http"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// statusClientClosedRequest is the non-standard status that nginx introduced for a caller
// that closed its connection.
const statusClientClosedRequest = 499

var statusByCode = map[failure.Code]int{
	failure.BadRequest:        http.StatusBadRequest,
	failure.BodyTooLarge:      http.StatusRequestEntityTooLarge,
	failure.SlowBody:          http.StatusRequestTimeout,
	failure.Unauthorized:      http.StatusUnauthorized,
	failure.Forbidden:         http.StatusForbidden,
	failure.UnknownModel:      http.StatusNotFound,
	failure.UnknownService:    http.StatusNotFound,
	failure.NotFound:          http.StatusNotFound,
	failure.Residency:         http.StatusMisdirectedRequest,
	failure.KeyReused:         http.StatusUnprocessableEntity,
	failure.InProgress:        http.StatusConflict,
	failure.NoMemory:          http.StatusServiceUnavailable,
	failure.Overloaded:        http.StatusTooManyRequests,
	failure.DeadlineTooShort:  http.StatusServiceUnavailable,
	failure.NoServer:          http.StatusServiceUnavailable,
	failure.ServersPaused:     http.StatusServiceUnavailable,
	failure.NoQuorum:          http.StatusServiceUnavailable,
	failure.LedgerFull:        http.StatusServiceUnavailable,
	failure.AnswerNotKept:     http.StatusGone,
	failure.LedgerForgot:      http.StatusConflict,
	failure.Draining:          http.StatusServiceUnavailable,
	failure.NotReady:          http.StatusServiceUnavailable,
	failure.BackendLost:       http.StatusBadGateway,
	failure.BackendRefused:    http.StatusServiceUnavailable,
	failure.Truncated:         http.StatusBadGateway,
	failure.PeerUnreachable:   http.StatusBadGateway,
	failure.PeerRefused:       http.StatusForbidden,
	failure.Circulating:       http.StatusLoopDetected,
	failure.Canceled:          statusClientClosedRequest,
	failure.DeadlineExceeded:  http.StatusGatewayTimeout,
	failure.VersionConflict:   http.StatusConflict,
	failure.InvalidRecord:     http.StatusUnprocessableEntity,
	failure.UnsupportedSchema: http.StatusUnprocessableEntity,
	failure.NoLeader:          http.StatusServiceUnavailable,
	failure.MembershipPending: http.StatusConflict,
	failure.UnsafeMembership:  http.StatusConflict,
	failure.JournalCorrupt:    http.StatusInternalServerError,
	failure.JournalForeign:    http.StatusInternalServerError,
	failure.JournalFailed:     http.StatusInternalServerError,
	failure.InvalidSettings:   http.StatusInternalServerError,
	failure.ChangeIDReused:    http.StatusUnprocessableEntity,
	failure.EvidenceInvalid:   http.StatusInternalServerError,
	failure.Quarantined:       http.StatusUnprocessableEntity,
	failure.Suspected:         http.StatusServiceUnavailable,
	failure.QuarantinedPart:   http.StatusUnprocessableEntity,
	failure.SuspectedPart:     http.StatusServiceUnavailable,
	failure.OverQuota:         http.StatusTooManyRequests,
	failure.QuotaUnknown:      http.StatusServiceUnavailable,
	failure.MessageInvalid:    http.StatusBadGateway,
	failure.OrderSuperseded:   http.StatusConflict,
	failure.Internal:          http.StatusInternalServerError,
}

// Status returns the HTTP status of a failure.
func Status(f *failure.Error) int {
	if s, ok := statusByCode[f.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
