package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"
)

//go:generate go tool stringer -type=Part -linecomment -output=enum_string.go

// Part is what a process does in a routed deployment.
type Part int

// Parts of a routed deployment.
const (
	PartEntry   Part = iota // entry
	PartControl             // control
)

// UnmarshalText reads a part by its name.
func (p *Part) UnmarshalText(text []byte) error {
	for _, v := range []Part{PartEntry, PartControl} {
		if v.String() == string(text) {
			*p = v
			return nil
		}
	}
	return &Fault{Field: "part", What: fmt.Sprintf("is %q", text), Remedy: "write \"entry\" or \"control\""}
}

// Duration is a duration written as text, such as "250ms" or "8.5s".
type Duration time.Duration

// Std returns the span as a duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// UnmarshalText reads a duration. An empty text is zero, so that a default can be set.
func (s *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return &Fault{Field: "duration", What: fmt.Sprintf("is %q", text), Remedy: "write a duration like \"250ms\""}
	}
	*s = Duration(d)
	return nil
}

// Bounds are what the operator promises for a deployment and the hosts have to keep.
type Bounds struct {
	// Grace is how long a process may go on after it was told to stop.
	Grace Duration `json:"grace"`
	// Drain is how long after the acknowledgement of a leaving endpoint new work may still reach it.
	Drain Duration `json:"drain"`
	// Heartbeat is the interval at which endpoints report.
	Heartbeat Duration `json:"heartbeat"`
	// SessionGap is how long after an answer the next request of the same session may follow.
	SessionGap Duration `json:"session-gap"`
	// RetryRatio is how many repeated arrivals a service takes for each request, over RetryWindow.
	RetryRatio  float64  `json:"retry-ratio"`
	RetryWindow Duration `json:"retry-window"`
	// RetrySlack is added to the repeats of a window, for all entry hosts together.
	RetrySlack float64 `json:"retry-slack"`
	// ExposureShare bounds the part of a service's requests that an unproved version gets.
	ExposureShare float64 `json:"exposure-share"`
}

// Node are the settings of a process in a routed deployment, where entry hosts forward requests by routes
// and control hosts keep the routing table.
type Node struct {
	Part       Part   `json:"part"`
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	IP         string `json:"ip"`
	// CallerAddress and ReadyAddress are an entry host's; AdminAddress is a control host's.
	CallerAddress string `json:"caller-address"`
	ReadyAddress  string `json:"ready-address"`
	AdminAddress  string `json:"admin-address"`
	// PeerPort takes other hosts on control hosts; MetricsPort serves metrics on all.
	PeerPort    uint16 `json:"peer-port"`
	MetricsPort uint16 `json:"metrics-port"`
	// PeerListenPort is the port on which this host listens for others where a tunnel stands before it; 0
	// means PeerPort.
	PeerListenPort uint16 `json:"peer-listen-port"`
	// Seeds are admin addresses of some control hosts; their peers listen on PeerPort.
	Seeds []string `json:"seeds"`
	// Bootstrap is set at the very first start of a deployment: the seeds make the control log.
	Bootstrap  bool   `json:"found"`
	DataFolder string `json:"data-folder"`
	// MemoryMB and Descriptors are the limits of the process.
	MemoryMB    int64  `json:"memory-mb"`
	Descriptors int    `json:"descriptors"`
	Bounds      Bounds `json:"bounds"`
	// LogLevel is one of logrus's levels; empty means "info".
	LogLevel string `json:"log-level"`
}

// IsNode reports whether a settings file is one of a routed deployment.
func IsNode(path string) (bool, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("settings: %w; name a file that can be read", err)
	}
	var v struct {
		Part *string `json:"part"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return false, fmt.Errorf("settings %s: %w; correct the document", path, err)
	}
	return v.Part != nil, nil
}

// LoadNode reads and checks the settings of a process in a routed deployment.
func LoadNode(path string) (Node, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("settings: %w; name a file that can be read", err)
	}
	n, err := Decode[Node](b)
	if err != nil {
		return n, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := n.Check(); err != nil {
		return n, fmt.Errorf("settings %s: %w", path, err)
	}
	return n, nil
}

// Check returns a Fault that names the field, the fault and the remedy.
func (n Node) Check() error {
	if n.Name == "" {
		return &Fault{Field: "name", What: "is empty", Remedy: "give the host a name"}
	}
	if n.DataCentre == "" {
		return &Fault{Field: "data-centre", What: "is empty", Remedy: "name the host's data centre"}
	}
	if _, err := netip.ParseAddr(n.IP); err != nil {
		return &Fault{Field: "ip", What: fmt.Sprintf("is %q", n.IP), Remedy: "write an IP number"}
	}
	if n.PeerPort == 0 {
		return &Fault{Field: "peer-port", What: "is 0", Remedy: "name the port on which control hosts listen to other hosts"}
	}
	if len(n.Seeds) == 0 {
		return &Fault{Field: "seeds", What: "is empty", Remedy: "name the admin address of a control host"}
	}
	for i, s := range n.Seeds {
		if err := checkAddress(fmt.Sprintf("seeds[%d]", i), s); err != nil {
			return err
		}
	}
	return n.checkPart()
}

func (n Node) checkPart() error {
	if n.Part == PartControl {
		if n.DataFolder == "" {
			return &Fault{Field: "data-folder", What: "is empty", Remedy: "name a folder on a disk"}
		}
		return checkAddress("admin-address", n.AdminAddress)
	}
	if err := checkAddress("caller-address", n.CallerAddress); err != nil {
		return err
	}
	return checkAddress("ready-address", n.ReadyAddress)
}

func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &Fault{Field: field, What: fmt.Sprintf("is %q", address), Remedy: "write an IP and a port like \"10.0.0.1:7000\""}
	}
	return nil
}

// PeerAddress is where this host's peers reach it.
func (n Node) PeerAddress() string { return n.withPeerPort(n.IP) }

// PeerListenAddress is where this host listens for its peers.
func (n Node) PeerListenAddress() string {
	if n.PeerListenPort == 0 {
		return n.PeerAddress()
	}
	return fmt.Sprintf("%s:%d", n.IP, n.PeerListenPort)
}

// SeedPeers are the peer addresses of the seeds.
func (n Node) SeedPeers() []string {
	var r []string
	for _, s := range n.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			r = append(r, n.withPeerPort(a.Addr().String()))
		}
	}
	return r
}

func (n Node) withPeerPort(ip string) string { return fmt.Sprintf("%s:%d", ip, n.PeerPort) }
