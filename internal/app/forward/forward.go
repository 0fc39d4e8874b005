// Package forward encodes what all forwarded requests have in common: HTTP headers and the end of
// an answer, as sent between hosts.
package forward

import (
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"golang.org/x/net/http/httpguts"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Text encodes a string of a caller or backend server for a string field of a message, which must be valid UTF-8. A
// string that is not is encoded byte by byte as ISO 8859-1.
func Text(s string) (text string, latin1 bool) {
	if utf8.ValidString(s) {
		return s, false
	}
	characters := make([]rune, len(s))
	for i := range len(s) {
		characters[i] = rune(s[i])
	}
	return string(characters), true
}

// ReadText decodes what Text encoded.
func ReadText(text string, latin1 bool) string {
	if !latin1 {
		return text
	}
	out := make([]byte, 0, len(text))
	for _, character := range text {
		out = append(out, byte(character))
	}
	return string(out)
}

// Headers encodes HTTP headers. Values may hold any bytes that HTTP allows (obs-text, RFC 9110, section 5.5).
func Headers(h http.Header) []*pb.Header {
	var out []*pb.Header
	for name, values := range h {
		for _, v := range values {
			field := &pb.Header{Name: name}
			field.Value, field.Latin1 = Text(v)
			out = append(out, field)
		}
	}
	return out
}

// ReadHeaders decodes HTTP headers.
func ReadHeaders(list []*pb.Header) http.Header {
	out := http.Header{}
	for _, e := range list {
		out.Add(e.Name, ReadText(e.Value, e.Latin1))
	}
	return out
}

// ReadHead decodes the status and the headers of an answer. It fails if HTTP does not allow them: the other host may run
// a version that passes on what a faulty server sent.
func ReadHead(m *pb.ForwardHead) (status int, header http.Header, f *failure.Error) {
	header = ReadHeaders(m.Headers)
	if m.Status < 100 || m.Status > 999 {
		return 0, nil, failure.New(failure.BackendLost, failure.Unknown, "the answer's status is %d", m.Status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return 0, nil, failure.New(failure.BackendLost, failure.Unknown, "the answer has a header field that HTTP does not allow")
		}
	}
	return int(m.Status), header, nil
}

// End returns the frame that ends an answer: complete if f is nil.
func End(f *failure.Error) *pb.ForwardFrame {
	end := &pb.ForwardEnd{Complete: f == nil, Outcome: string(failure.Done)}
	if f != nil {
		end.Outcome, end.Code, end.Detail = string(f.Outcome), string(f.Code), f.Detail
		end.RetryAfterMs = f.RetryAfter.Milliseconds()
	}
	return &pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: end}}
}

// Failure returns the failure in an end frame.
func Failure(end *pb.ForwardEnd) *failure.Error {
	f := failure.New(failure.Code(end.Code), failure.Outcome(end.Outcome), "%s", end.Detail)
	return f.WithRetryAfter(time.Duration(end.RetryAfterMs) * time.Millisecond)
}
