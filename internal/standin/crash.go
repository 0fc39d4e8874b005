package standin

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// ExitCrashed is the exit code of a stand-in that a request crashed.
const ExitCrashed = 7

// crashAfter is how long a stand-in runs a crashing request before its process ends.
const crashAfter = 15 * time.Millisecond

// CrashOn ends the process soon after it began to run a request whose body holds the mark.
func CrashOn(mark string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if bytes.Contains(body, []byte(mark)) {
			time.Sleep(crashAfter)
			os.Exit(ExitCrashed)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
