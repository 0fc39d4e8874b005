package callerhttp

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/app/entry"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// readBody reads the whole body within the limits. The request is not forwarded
// before its body is complete. The body must be released once the request has ended.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (*requestbody.Body, *failure.Error) {
	return requestbody.Read(w, r, requestbody.Limits{MaxBytes: h.limits.MaxBodyBytes, Timeout: h.limits.BodyTimeout})
}

// sink implements entry.Sink on the response to the caller.
type sink struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	stream   bool
	headSent bool
	status   int
}

// Head implements entry.Sink.
func (s *sink) Head(hd entry.Head) error {
	header := s.w.Header()
	for name, values := range hd.Header {
		header[name] = values
	}
	header.Set(HeaderRegion, hd.Region)
	if hd.Server != "" {
		header.Set(HeaderServer, hd.Server)
	}
	s.headSent, s.status = true, hd.Status
	if s.stream {
		header.Set("Trailer", HeaderOutcome)
		s.w.WriteHeader(hd.Status)
	}
	return nil
}

// Data implements entry.Sink.
func (s *sink) Data(data []byte) error {
	if s.stream {
		return s.write(data)
	}
	header := s.w.Header()
	header.Set(HeaderOutcome, string(failure.Done))
	header.Set("Content-Length", strconv.Itoa(len(data)))
	s.w.WriteHeader(s.status)
	return s.write(data)
}

// A caller must take each part of an answer within partTimeout, so that a host holds no answer for one that takes
// nothing.
const (
	partBytes   = 64 << 10
	partTimeout = 15 * time.Second
)

// write sends data part by part.
func (s *sink) write(data []byte) error {
	for len(data) > 0 {
		n := min(len(data), partBytes)
		_ = s.rc.SetWriteDeadline(time.Now().Add(partTimeout)) // not supported by writers of tests
		if _, err := s.w.Write(data[:n]); err != nil {
			return errors.Trace(err)
		}
		data = data[n:]
	}
	return errors.Trace(s.rc.Flush())
}

// endDeadline removes the deadline of the last part from the connection, on which other answers may follow.
func (s *sink) endDeadline() { _ = s.rc.SetWriteDeadline(time.Time{}) }

// setOutcome sets the outcome trailer of a stream.
func (s *sink) setOutcome(outcome failure.Outcome) {
	if s.stream && s.headSent {
		s.w.Header().Set(HeaderOutcome, string(outcome))
	}
}
