package httpheader

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
)

func TestReadPause(t *testing.T) {
	const written, soon = "Fri, 04 Dec 2026 08:00:00 GMT", "Fri, 04 Dec 2026 08:00:05 GMT"
	asks := func(d time.Duration) serverpause.Demand { return serverpause.Demand{For: d} }
	invalid := func(text string) serverpause.Demand { return serverpause.Demand{Invalid: text} }
	for name, c := range map[string]struct {
		status int
		date   string
		values []string
		want   serverpause.Demand
	}{
		"absent":               {503, "", nil, serverpause.Demand{}},
		"seconds":              {503, "", []string{"3"}, asks(3 * time.Second)},
		"fraction":             {503, "", []string{" 0.75 "}, asks(750 * time.Millisecond)},
		"zero":                 {503, "", []string{"0"}, asks(0)},
		"very long":            {503, "", []string{"99999999999999999999"}, asks(serverpause.MaxPause)},
		"overflowing":          {503, "", []string{strings.Repeat("9", 33)}, invalid(`"` + strings.Repeat("9", 32) + `"`)},
		"negative":             {503, "", []string{"-1"}, invalid(`"-1"`)},
		"not a number":         {503, "", []string{"soon"}, invalid(`"soon"`)},
		"infinite":             {503, "", []string{"Inf"}, invalid(`"Inf"`)},
		"empty":                {503, "", []string{""}, invalid(`""`)},
		"several":              {503, "", []string{"2", "5", "1"}, asks(5 * time.Second)},
		"several, one invalid": {503, "", []string{"2", "x"}, serverpause.Demand{For: 2 * time.Second, Invalid: `"x"`}},
		"date":                 {503, written, []string{soon}, asks(5 * time.Second)},
		"date in the past":     {503, soon, []string{written}, asks(0)},
		"date, no own date":    {503, "", []string{soon}, invalid(`"` + soon + `"`)},
		"another status":       {429, "", []string{"3"}, serverpause.Demand{}},
		"a success":            {200, "", []string{"3"}, serverpause.Demand{}},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{retryAfter: c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			if got := Pause(c.status, h); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// FuzzPause checks that any text asks for a pause within its bounds, is invalid, or asks for none.
func FuzzPause(f *testing.F) {
	for _, text := range []string{"", "0", "3", "0.3", "-1", "NaN", "1e9", "2,5", "Fri, 04 Dec 2026 08:00:00 GMT", " 4 ", "\x00", "١", "9999999999999999999999"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		d := Pause(http.StatusServiceUnavailable, http.Header{retryAfter: {value}, "Date": {date}})
		if d.For < 0 || d.For > serverpause.MaxPause || (d.For > 0 && d.Invalid != "") || len(d.Invalid) > 10*maxRetryAfterBytes+2 {
			t.Errorf("%q, written %q: %+v", value, date, d)
		}
	})
}
