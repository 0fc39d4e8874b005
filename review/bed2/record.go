package bed2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file of a case with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// Add adds a line with the time since the beginning.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the record to its file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// Main runs a case, whose record stands at the path of the first argument, and ends the process with the case's exit
// code. run returns how often the rule was broken beyond what it allows.
func Main(run func(*Record) (broken int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		os.Exit(NotRun)
	}
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	broken, err := run(r)
	code := Held
	switch {
	case err != nil:
		r.Add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = NotRun
	case broken > 0:
		r.Add("the rule was broken: %d", broken)
		fmt.Println("the rule was broken:", broken)
		code = Broken
	default:
		r.Add("the rule held")
		fmt.Println("the rule held")
	}
	if err := r.Close(); err != nil {
		code = NotRun
	}
	os.Exit(code)
}
