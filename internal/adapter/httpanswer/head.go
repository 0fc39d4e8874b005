package httpanswer

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// Errors of heads that HTTP/1.1 does not allow. RFC 9110 is HTTP Semantics, RFC 9112 is HTTP/1.1.
var (
	errStatusLine = errors.New("the status line is not that of an HTTP/1 answer (RFC 9112, 4)")
	errStatus     = errors.New("the status code is not from 100 to 999 (RFC 9110, 15)")
	errSwitched   = errors.New("the server switched to another protocol, which was not asked for (RFC 9110, 15.2.2)")
	errLine       = errors.New("a header line has no colon, or a control byte (RFC 9112, 5)")
	errName       = errors.New("the name of a header field is not a token (RFC 9110, 5.1)")
	errValue      = errors.New("the value of a header field has a control byte (RFC 9110, 5.5)")
	errOldFraming = errors.New("an HTTP/1.0 answer has a transfer encoding (RFC 9112, 6.1)")
)

// CheckBytes returns why the head of an answer, up to the empty line at its end, is not one that HTTP/1.1 allows; nil if it
// is. Forms that recipients may accept are accepted: lines that end with LF only (RFC 9112, 2.2), a status line that
// ends with the code (4), and lines that continue the one before (5.2).
func CheckBytes(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	old, err := checkStatusLine(trimCR(line))
	if err != nil {
		return err
	}
	for first := true; len(rest) > 0; first = false {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = trimCR(line)
		if len(line) == 0 {
			return nil
		}
		if continues := line[0] == ' ' || line[0] == '\t'; continues {
			if first || !httpguts.ValidHeaderFieldValue(string(line)) {
				return errLine
			}
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		switch {
		case !ok:
			return errLine
		case !httpguts.ValidHeaderFieldName(string(name)):
			return errName
		case !httpguts.ValidHeaderFieldValue(string(value)):
			return errValue
		case old && strings.EqualFold(string(name), "Transfer-Encoding"):
			return errOldFraming
		}
	}
	return nil
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// checkStatusLine checks a status line. It reports whether the answer's version is HTTP/1.0.
func checkStatusLine(line []byte) (old bool, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(version))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !ok || major != 1 || len(code) != 3 || !httpguts.ValidHeaderFieldValue(string(rest)) {
		return false, errStatusLine
	}
	for _, c := range code {
		if c < '0' || c > '9' {
			return false, errStatusLine
		}
	}
	if code[0] == '0' {
		return false, errStatus
	}
	return minor == 0, nil
}

// Check returns why an answer that net/http has parsed is not one that HTTP/1.1 allows; nil if it is.
func Check(r *http.Response) error {
	switch {
	case r.StatusCode < 100 || r.StatusCode > 999:
		return errStatus
	case r.StatusCode == http.StatusSwitchingProtocols:
		return errSwitched
	}
	return CheckFields(r.Header)
}

// CheckFields returns why header or trailer fields are not ones that HTTP allows; nil if they are.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errName
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errValue
			}
		}
	}
	return nil
}
