package forward

import (
	"net/http"
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// FuzzHeaders checks that every value of a header field can be sent to another host and arrives unchanged.
func FuzzHeaders(f *testing.F) {
	f.Add("plain")
	f.Add("caf\xe9")
	f.Add("caf\xc3\xa9")
	f.Add("")
	f.Fuzz(func(t *testing.T, value string) {
		sent := &pb.ForwardHead{Headers: Headers(http.Header{"X-Note": {value, "second"}})}
		data, err := proto.Marshal(sent)
		got := new(pb.ForwardHead)
		if err == nil {
			err = proto.Unmarshal(data, got)
		}
		if err != nil {
			t.Fatal(err)
		}
		if values := ReadHeaders(got.Headers)["X-Note"]; len(values) != 2 || values[0] != value || values[1] != "second" {
			t.Errorf("%q was received as %q", value, values)
		}
		if text, latin1 := Text(value); latin1 == utf8.ValidString(value) || !latin1 && text != value {
			t.Errorf("%q was encoded as %q, ISO 8859-1: %v", value, text, latin1)
		}
	})
}
