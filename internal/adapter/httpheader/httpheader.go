// Package httpheader decodes values of HTTP headers that several interfaces read in the same way.
package httpheader

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
)

// MaxDecimalBytes bounds the text of a decimal number, far above the digits of any useful one.
const MaxDecimalBytes = 32

// Decimal parses a number that consists of digits and at most one point.
func Decimal(s string) (float64, bool) {
	if s == "" || len(s) > MaxDecimalBytes || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// Flag reports whether a header is set: any value sets it but an empty or a false one.
func Flag(h http.Header, name string) bool {
	return slices.ContainsFunc(h.Values(name), func(v string) bool {
		set, err := strconv.ParseBool(strings.TrimSpace(v))
		return set || (err != nil && strings.TrimSpace(v) != "")
	})
}

// retryAfter is the header that names the time in which a server that answers 503 wants no requests.
const retryAfter = "Retry-After"

// maxRetryAfterBytes bounds the text of a Retry-After header, above that of a date.
const maxRetryAfterBytes = 32

// Pause returns for how long a server that turned a request away with a status wants no others. Of several
// headers the longest valid time counts. A date counts from the time at which the server wrote the answer.
func Pause(status int, h http.Header) serverpause.Demand {
	var d serverpause.Demand
	if status != http.StatusServiceUnavailable {
		return d
	}
	for _, v := range h.Values(retryAfter) {
		wait, ok := parseRetryAfter(strings.TrimSpace(v), h.Get("Date"))
		if !ok {
			d.Invalid = fmt.Sprintf("%.*q", maxRetryAfterBytes, v)
			continue
		}
		d.For = max(d.For, wait)
	}
	return d
}

// parseRetryAfter parses seconds, which may have a fraction, or a date, which needs the answer's own one.
// It returns at most serverpause.MaxPause.
func parseRetryAfter(value, date string) (time.Duration, bool) {
	if seconds, ok := Decimal(value); ok {
		return time.Duration(min(seconds, serverpause.MaxPause.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	written, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return min(max(0, until.Sub(written)), serverpause.MaxPause), true
}
