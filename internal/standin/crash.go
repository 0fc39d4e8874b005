package standin

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"
)

// ExitCrashed is the exit code of a stand-in that was crashed by a request.
const ExitCrashed = 7

// crashAfter is the time between the start of a crashing request and the exit of the process.
const crashAfter = 15 * time.Millisecond

// CrashOn returns a handler that exits the process with ExitCrashed, crashAfter the start of a
// request whose body contains the mark, and passes all other requests to next.
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
