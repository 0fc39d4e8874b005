// Command sesame-standin simulates a backend server or the platform's client directory, for
// development and tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/sesamefork/sesamefork/internal/adapter/backendhttp"
	"github.com/sesamefork/sesamefork/internal/daemon"
	"github.com/sesamefork/sesamefork/internal/standin"
)

type flags struct {
	id, listen, kind, models, entries, key, faults, crashOn string
	slots, cacheBlocks                                      int
	prefill, gaps                                           float64
	decode, work, lag, interval                             time.Duration
	ignoreFence                                             bool
	seed                                                    int64
}

func parseFlags() flags {
	var f flags
	flag.StringVar(&f.id, "id", "standin", "ID of the backend server")
	flag.StringVar(&f.listen, "listen", "127.0.0.1:9000", "IP address and port")
	flag.StringVar(&f.kind, "kind", "engine", "engine, service or directory")
	flag.StringVar(&f.models, "models", "", "models or services, separated by commas")
	flag.StringVar(&f.entries, "entries", "", "URLs of entry hosts, separated by commas")
	flag.StringVar(&f.key, "key", "", "key for announcements")
	flag.IntVar(&f.slots, "slots", 8, "number of requests processed concurrently")
	flag.IntVar(&f.cacheBlocks, "cache-blocks", 512, "capacity of the prefix cache, in blocks")
	flag.Float64Var(&f.prefill, "prefill-rate", 20000, "prompt tokens per second")
	flag.DurationVar(&f.decode, "decode", 5*time.Millisecond, "decode time per token with a full batch")
	flag.DurationVar(&f.work, "work", 5*time.Millisecond, "processing time of a service call")
	flag.DurationVar(&f.lag, "lag", 500*time.Millisecond, "age of the announced load")
	flag.DurationVar(&f.interval, "interval", time.Second, "interval between announcements")
	flag.Float64Var(&f.gaps, "gaps", 0.02, "fraction of cache event batches to drop, 0 to 1")
	flag.BoolVar(&f.ignoreFence, "ignore-fence", false, "accept orders with outdated fencing numbers")
	flag.StringVar(&f.faults, "faults", "", "faults with their probabilities, such as die=0.1,stall=0.02")
	flag.StringVar(&f.crashOn, "crash-on", "", "exit while processing a request whose body contains this text; empty disables this")
	flag.Int64Var(&f.seed, "seed", 1, "seed for drawing faults")
	flag.Parse()
	return f
}

func main() {
	f := parseFlags()
	faults, err := standin.ParseFaults(f.faults, f.seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitUsage)
	}
	router := mux.NewRouter()
	ann := newAnnouncer(f)
	switch f.kind {
	case "engine":
		e := standin.NewEngine(standin.EngineOptions{
			ID: f.id, Models: ann.Base.Models, Slots: f.slots, PrefillRate: f.prefill, Decode: f.decode,
			CacheBlocks: f.cacheBlocks, IgnoresFence: f.ignoreFence, Faults: faults,
		})
		e.Mount(router)
		ann.Load, ann.Changes = e.Load, e.CacheChanges
	case "service":
		s := standin.NewService(standin.ServiceOptions{ID: f.id, Names: ann.Base.Models, Slots: f.slots, Work: f.work, Faults: faults})
		s.Mount(router)
		ann.Load = s.Load
	case "directory":
		mountDirectory(router)
		ann = nil
	default:
		fmt.Fprintf(os.Stderr, "invalid -kind %q: want engine, service or directory\n", f.kind)
		os.Exit(daemon.ExitUsage)
	}
	var handler http.Handler = router
	if f.crashOn != "" {
		handler = standin.CrashOn(f.crashOn, router)
	}
	if err := serve(f, handler, ann); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(daemon.ExitFailure)
	}
}

func newAnnouncer(f flags) *standin.Announcer {
	return &standin.Announcer{
		ID: f.id, Entries: splitList(f.entries), Key: f.key, Interval: f.interval, Lag: f.lag, GapShare: f.gaps, Seed: f.seed,
		Client: &http.Client{},
		Base: backendhttp.Announcement{
			Address: f.listen, Kind: f.kind, Models: splitList(f.models), Slots: uint32(f.slots),
			PrefillRate: uint32(f.prefill), DecodeMS: uint32(f.decode.Milliseconds()),
		},
	}
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// serve announces the server and serves requests until a signal, then finishes those in flight.
func serve(f flags, router http.Handler, ann *standin.Announcer) error {
	srv, ln, err := daemon.NewHTTPServer(f.listen, router, nil)
	if err != nil {
		return err
	}
	ctx, _ := daemon.Signals()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if ann != nil {
			ann.Run(ctx)
			time.Sleep(ann.Interval) // entry hosts may send requests until they have received the leave announcement
		} else {
			<-ctx.Done()
		}
		_ = srv.Shutdown(context.Background())
	}()
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	<-done
	return nil
}

// mountDirectory adds the routes of a simulated client directory, which stores one list per region.
func mountDirectory(r *mux.Router) {
	var mu sync.Mutex
	lists := map[string][]byte{}
	r.HandleFunc("/{region}", func(w http.ResponseWriter, req *http.Request) {
		data, _ := io.ReadAll(io.LimitReader(req.Body, 1<<20))
		mu.Lock()
		defer mu.Unlock()
		lists[mux.Vars(req)["region"]] = data
	}).Methods(http.MethodPut)
	r.HandleFunc("/{region}", func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(lists[mux.Vars(req)["region"]])
	}).Methods(http.MethodGet)
}
