package bed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one program of the deployment, which the platform starts again whenever it ends.
type Process struct {
	Name string
	Zone Zone
	IP   string

	b       *Bed
	control bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{}
	starts  int
	// killed is set from a SIGKILL of the case until the next start.
	killed   bool
	ownEnds  int
	onEnd    func() // called between an end and the next start
	downTime time.Duration
}

func (b *Bed) newProcess(name string, z Zone, ip string, control bool) *Process {
	p := &Process{Name: name, Zone: z, IP: ip, b: b, control: control, ended: make(chan struct{})}
	b.procs = append(b.procs, p)
	return p
}

// Front returns the address for clients.
func (p *Process) Front() string { return p.IP + ":" + frontPort }

// Control returns the address for operators and servers.
func (p *Process) Control() string { return p.IP + ":" + controlPort }

// DataDir returns the folder of a control host's state.
func (p *Process) DataDir() string { return filepath.Join(p.b.dir, "data-"+p.Name) }

func (p *Process) settings() string { return filepath.Join(p.b.dir, p.Name+".toml") }

// Log returns the path of the file with what the process has written.
func (p *Process) Log() string { return filepath.Join(p.b.dir, p.Name+".log") }

// WriteSettings renders the deploy file's template of the settings.
func (p *Process) WriteSettings(first bool) error {
	name, memory := "entry.toml.tmpl", EntryMemoryMB
	if p.control {
		name, memory = "control.toml.tmpl", ControlMemoryMB
	}
	data, err := os.ReadFile(filepath.Join("deploy", "platform", name))
	if err != nil {
		return err
	}
	seeds, err := json.Marshal(p.b.Seeds)
	if err != nil {
		return err
	}
	zones := ""
	for _, z := range p.b.Zones {
		zones += fmt.Sprintf("%q = %q\n", z.Name, z.Region)
	}
	text := string(data)
	if before, rest, ok := strings.Cut(text, "{{#bounds.quota_window_s}}"); ok { // a bound that the deployment does not set
		_, after, _ := strings.Cut(rest, "{{/bounds.quota_window_s}}")
		text = before + after
	}
	text = strings.NewReplacer(
		"{{#zones}}\n\"{{@}}\" = \"{{.}}\"\n{{/zones}}", zones,
		"{{node}}", p.Name, "{{region}}", p.Zone.Region, "{{zone}}", p.Zone.Name, "{{ip}}", p.IP,
		"{{internal_port_range.0}}", peerPort, "{{listen.front}}", p.Front(), "{{listen.ready}}", p.IP+":"+readyPort,
		"{{listen.control}}", p.Control(), "{{listen.directory}}", p.IP+":"+directoryPort, "{{data_dir}}", p.DataDir(),
		"{{limits.memory_mb}}", fmt.Sprint(memory), "{{bounds.grace_s}}", fmt.Sprint(GraceS),
		"{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "56", "{{bounds.retry_window_s}}", "10",
		"{{seeds|json}}", string(seeds), "{{heartbeat_ms}}", fmt.Sprint(HeartbeatMS), "{{bootstrap}}", fmt.Sprint(first),
	).Replace(text)
	if strings.Contains(text, "{{") {
		return fmt.Errorf("a placeholder in %s was not replaced", name)
	}
	tmp := p.settings() + ".new"
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, p.settings())
}

// Start starts the program, and again whenever it ends, until the bed is closed.
func (p *Process) Start() { go p.supervise() }

func (p *Process) supervise() {
	defer close(p.ended)
	log, err := os.OpenFile(p.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.b.Record("%s: %s", p.Name, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		ended, ok := p.startOnce(log)
		if !ok {
			return
		}
		err := ended.Wait()
		p.mu.Lock()
		p.cmd = nil
		if !p.killed && !p.stopped {
			p.ownEnds++
			p.b.Record("%s ended by itself: %v", p.Name, err)
		}
		down, prepare := max(RestartDelay, p.downTime), p.onEnd
		p.killed, p.onEnd, p.downTime = false, nil, 0
		p.mu.Unlock()
		if prepare != nil {
			prepare()
		}
		time.Sleep(down)
	}
}

func (p *Process) startOnce(log *os.File) (*exec.Cmd, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, false
	}
	name := "sesame-entry"
	if p.control {
		name = "sesame-control"
	}
	cmd := exec.Command(program(name), "-settings", p.settings())
	cmd.Env = append(os.Environ(), "SESAMEFORK_CONFIG="+p.settings())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.b.Record("%s was not started: %s", p.Name, err)
		return nil, false
	}
	p.cmd = cmd
	p.starts++
	p.b.Record("%s started, start %d", p.Name, p.starts)
	return cmd, true
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	p.b.Record("%s: %s", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// KillAndRestart kills the process; prepare runs before it is started again after down.
func (p *Process) KillAndRestart(down time.Duration, prepare func()) {
	p.mu.Lock()
	p.onEnd, p.downTime = prepare, down
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
}

// Starts returns how often the process was started, and how often it ended by itself.
func (p *Process) Starts() (starts, ownEnds int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.ownEnds
}

// Pid returns the ID of the running process; 0 if there is none.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) stop() {
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	p.stopped = true
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	began := p.starts > 0
	p.mu.Unlock()
	if began {
		<-p.ended
	}
}

// Leads reports whether the last role that the process has logged is that of the leader.
func (p *Process) Leads() bool {
	data, err := os.ReadFile(p.Log())
	if err != nil {
		return false
	}
	at := bytes.LastIndex(data, []byte(`"event":"role changed"`))
	if at < 0 {
		return false
	}
	line, _, _ := bytes.Cut(data[at:], []byte("\n"))
	return bytes.Contains(line, []byte(`"role":"leader"`))
}
