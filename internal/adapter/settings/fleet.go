package settings

import "net/netip"

// Fleet configures host discovery for interface "platform", where no configuration record
// lists the hosts.
type Fleet struct {
	// Seeds are addresses of control hosts. Their port is replaced by PeerPort.
	Seeds []string `toml:"seeds"`
	// PeerPort is the port at which other hosts reach listen.peer, the same on every
	// host. It differs from the port of listen.peer where a relay forwards connections to it.
	PeerPort int `toml:"peer_port"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `toml:"regions"`
	// HeartbeatMS is the interval of backend servers' announcements, in ms (default 1200).
	HeartbeatMS int `toml:"heartbeat_ms"`
	// FormGroup lets the hosts listed in Seeds form the control group when the data
	// folder is empty. It is set only when all hosts start for the first time.
	FormGroup bool `toml:"found"`
}

// Retries configures the retry budget that all hosts share.
type Retries struct {
	// Ratio is the number of retries that each request adds to the budget (default 0.2).
	Ratio float64 `toml:"ratio"`
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64 `toml:"slack"`
	// WindowS is the length of the window to which the budget applies, in s (default 10).
	WindowS float64 `toml:"window_s"`
}

// Values of the interface setting.
const (
	InterfaceSesame   = "sesame"
	InterfacePlatform = "platform"
)

// PeerSeeds returns the peer addresses of the hosts in Seeds.
func (f Fleet) PeerSeeds() []string {
	out := make([]string, 0, len(f.Seeds))
	for _, s := range f.Seeds {
		if a := f.PeerAddress(s); a != "" {
			out = append(out, a)
		}
	}
	return out
}

// PeerAddress returns the peer address of the host that listens on addr, or "" if addr
// is not an IP address with a port.
func (f Fleet) PeerAddress(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), uint16(f.PeerPort)).String()
}

func (c *collector) interfaceName(v string) {
	if v != InterfaceSesame && v != InterfacePlatform {
		c.fail("interface", "%q is not one of %s, %s", v, InterfaceSesame, InterfacePlatform)
	}
}

func (c *collector) fleet(f Fleet, h Host) {
	for _, a := range f.Seeds {
		c.addr("fleet.seeds", a, false)
	}
	if len(f.Seeds) == 0 {
		c.fail("fleet.seeds", "is needed with interface %q", InterfacePlatform)
	}
	c.inRange("fleet.peer_port", float64(f.PeerPort), 1, 65535)
	c.inRange("fleet.heartbeat_ms", float64(f.HeartbeatMS), 50, 60_000)
	if f.Regions[h.FailureDomain] != h.Region {
		c.fail("fleet.regions", "failure domain %q is not mapped to host.region %q", h.FailureDomain, h.Region)
	}
}
