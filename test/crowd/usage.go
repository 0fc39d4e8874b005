package crowd

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PeakBytes returns the largest resident set of a process, in bytes; 0 if it has ended.
func PeakBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return kb << 10
		}
	}
	return 0
}

// UnreadBytes returns what sockets with a local IPv4 address hold unread, including those that were not accepted yet, in
// bytes.
func UnreadBytes(ip string) (sum int) {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	addr := netip.MustParseAddr(ip).As4()
	var reversed [4]byte
	binary.LittleEndian.PutUint32(reversed[:], binary.BigEndian.Uint32(addr[:]))
	prefix := strings.ToUpper(hex.EncodeToString(reversed[:])) + ":"
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		const localField, stateField, queuesField, listening = 1, 3, 4, "0A"
		f := strings.Fields(lines.Text())
		if len(f) <= queuesField || !strings.HasPrefix(f[localField], prefix) || f[stateField] == listening {
			continue
		}
		_, unread, _ := strings.Cut(f[queuesField], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += int(n)
	}
	return sum
}

// OpenFiles returns the number of open descriptors of a process; 0 if it has ended.
func OpenFiles(pid int) int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open)
}

// interval is the time between samples of a process's usage.
const interval = 20 * time.Millisecond

// Usage is what a process has used at most since Watch.
type Usage struct {
	pid   int
	ip    string
	stop  chan struct{}
	ended chan struct{}
	once  sync.Once
	// Peak is its largest resident set and Unread what its sockets held unread, in bytes, and Files its open descriptors.
	// They are valid after End.
	Peak, Unread, Files int
}

// Watch samples the usage of the process that listens on an IPv4 address.
func Watch(pid int, ip string) *Usage {
	u := &Usage{pid: pid, ip: ip, stop: make(chan struct{}), ended: make(chan struct{})}
	go u.sample()
	return u
}

func (u *Usage) sample() {
	defer close(u.ended)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		u.Peak = max(u.Peak, PeakBytes(u.pid))
		u.Unread = max(u.Unread, UnreadBytes(u.ip))
		u.Files = max(u.Files, OpenFiles(u.pid))
		select {
		case <-tick.C:
		case <-u.stop:
			u.Peak = max(u.Peak, PeakBytes(u.pid)) // the kernel keeps the peak, also between samples
			return
		}
	}
}

// End ends the sampling.
func (u *Usage) End() {
	u.once.Do(func() { close(u.stop) })
	<-u.ended
}
