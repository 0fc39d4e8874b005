// Package bed runs a small deployment for the cases of the review: the project's own programs as separate
// processes on loopback addresses, with stand-ins for clients, backend servers, the platform and the operator.
// The stand-ins follow the platform's pages; what a case makes them do beyond a sound one is set by the case.
package bed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Bounds of the deployment, as the platform's settings name them.
const (
	HeartbeatMS       = 1200
	StabilityWindow   = 6 * time.Second
	EvacuateBound     = 5 * time.Second
	ConfigApplyBound  = 4 * time.Second
	DrainBound        = 4 * time.Second
	GraceS            = 8
	RestartDelay      = 500 * time.Millisecond
	OperatorPatience  = time.Second // without a response, after which the operator calls the next host
	EntryMemoryMB     = 284
	ControlMemoryMB   = 280
	frontPort         = "8144"
	readyPort         = "8140"
	controlPort       = "8146"
	directoryPort     = "8143"
	peerPort          = "7660"
	serverPort        = "8080"
	addressAttempts   = 50
	controlHostNumber = 200
	serverHostNumber  = 100
)

// Exit codes of a case's program.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Zone is a failure domain with its region.
type Zone struct{ Name, Region string }

// Bed is a running deployment.
type Bed struct {
	Zones    []Zone
	Controls []*Process
	Entries  []*Process
	Seeds    []string

	dir   string
	octet int
	began time.Time
	mu    sync.Mutex
	out   *os.File
	procs []*Process
	ends  []func()
}

// New returns an empty deployment with one control host in each zone and entries entry hosts in each. The
// record of what happens goes to the file that the variable RECORD names.
func New(zones []Zone, entries int) (*Bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	b := &Bed{Zones: zones, dir: dir, began: time.Now(), out: out}
	if b.octet, err = freeOctet(); err != nil {
		return nil, err
	}
	for i, z := range zones {
		c := b.newProcess("control-"+z.Name, z, b.IP(i+1, controlHostNumber), true)
		b.Controls = append(b.Controls, c)
		if len(b.Seeds) < 3 {
			b.Seeds = append(b.Seeds, c.Control())
		}
		for k := range entries {
			b.Entries = append(b.Entries, b.newProcess(fmt.Sprintf("entry-%s-%d", z.Name, k+1), z, b.IP(i+1, k+1), false))
		}
	}
	return b, nil
}

// freeOctet returns a second octet of loopback addresses that nothing listens on.
func freeOctet() (int, error) {
	for range addressAttempts {
		n := 10 + rand.IntN(200)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%s", n, controlHostNumber, peerPort))
		if err == nil {
			_ = ln.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// IP returns the loopback address of a host of a zone, which counts from 1.
func (b *Bed) IP(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", b.octet, zone, host) }

// Record writes a line with the time since the start.
func (b *Bed) Record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// Start writes the settings of the first start and starts all processes.
func (b *Bed) Start() error {
	for _, p := range b.procs {
		if err := p.WriteSettings(true); err != nil {
			return err
		}
	}
	for _, p := range b.procs {
		p.Start()
	}
	return nil
}

// FirstStartOver writes the settings of later starts, which no longer name a first start.
func (b *Bed) FirstStartOver() error {
	for _, p := range b.procs {
		if err := p.WriteSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// AtEnd registers a function that Close calls.
func (b *Bed) AtEnd(f func()) { b.ends = append(b.ends, f) }

// Close ends all processes that the bed started and removes its files.
func (b *Bed) Close() {
	for _, f := range b.ends {
		f()
	}
	for _, p := range b.procs {
		p.stop()
	}
	_ = b.out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// Dir returns the temporary folder.
func (b *Bed) Dir() string { return b.dir }

// Run runs a case and exits with its result.
func Run(run func() (broken bool, err error)) {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(ExitNotRun)
	case broken:
		fmt.Println("the rule was broken; see", os.Getenv("RECORD"))
		os.Exit(ExitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(ExitHeld)
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// program returns the path of a program that the deploy file's build made.
func program(name string) string { return filepath.Join("target", name) }
