package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/tiers"
	"github.com/hickoryshelf/hickoryshelf/warmup"
)

//go:generate go tool stringer -type=Part -linecomment -output=enum_string.go

// Part is the role of a process in a routed deployment.
type Part int

// Parts of a routed deployment.
const (
	// PartEntry is a host that forwards the requests of callers to endpoints.
	PartEntry Part = iota // entry
	// PartControl is a host that stores the configuration and tracks the endpoints.
	PartControl // control
)

// UnmarshalText parses the name of a part. It returns a *Fault if the name is unknown.
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

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a duration. It returns a *Fault if the text is no duration or a negative one. An empty text is
// accepted and leaves the value unchanged, so that a default can be set for it.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return &Fault{Field: "duration", What: fmt.Sprintf("is %q", text), Remedy: "write a duration like \"250ms\""}
	}
	*d = Duration(v)
	return nil
}

// Bounds holds the limits that the operator promises for a deployment and that the hosts have to keep.
type Bounds struct {
	// Grace is how long a process may keep running after it was told to stop.
	Grace Duration `json:"grace"`
	// Drain is how long new requests may still reach a leaving endpoint after its report of leaving was
	// acknowledged.
	Drain Duration `json:"drain"`
	// Heartbeat is the interval between two reports of an endpoint.
	Heartbeat Duration `json:"heartbeat"`
	// SessionGap is the longest pause between an answer and the next request of the same session.
	SessionGap Duration `json:"session-gap"`
	// RetryRatio is the number of retries that a service accepts for each request, averaged over RetryWindow.
	RetryRatio  float64  `json:"retry-ratio"`
	RetryWindow Duration `json:"retry-window"`
	// RetrySlack is the number of further retries allowed in each window, for all entry hosts together.
	RetrySlack float64 `json:"retry-slack"`
	// ExposureShare is the largest share, from 0 to 1, of a service's requests that a version gets while a rollout has
	// not yet shown that the version is good.
	ExposureShare float64 `json:"exposure-share"`
	// ExposureExtra is the number of further requests that such a version gets in a rollout.
	ExposureExtra float64 `json:"exposure-extra"`
	// ConfigurationApply is the time after its acknowledgement within which a change of the configuration has to be in force at hosts that
	// reach the control hosts. 0 means the default of package relay.
	ConfigurationApply Duration `json:"configuration-apply"`
	// CentreDrain allows operators to drain the data centres of Node.DataCentres, if it is above 0. Its value is the time after the
	// acknowledgement of an order from which no request may reach an endpoint there; hosts don't wait for it, since each applies a drain as
	// soon as it hears of it.
	CentreDrain Duration `json:"centre-drain"`
	// ColdOverage and ColdSlack bound the requests of all hosts together to an endpoint that is still cold after its start: in each
	// second at most the rate of its service times ColdOverage, plus ColdSlack. Both 0 mean no bound.
	ColdOverage float64 `json:"cold-overage"`
	ColdSlack   float64 `json:"cold-slack"`
}

// ColdLimits returns the bound on requests to cold endpoints.
func (b Bounds) ColdLimits() warmup.Limits {
	return warmup.Limits{Overage: b.ColdOverage, Slack: b.ColdSlack}
}

// Node holds the settings of a process in a routed deployment, in which entry hosts forward requests by a routing table
// and control hosts store that table.
type Node struct {
	Part       Part   `json:"part"`
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	IP         string `json:"ip"`
	// CallerAddress and ReadyAddress are the listen addresses of an entry host for callers and for readiness checks.
	// AdminAddress is the listen address of a control host for endpoints and operators. All have the form IP:PORT.
	CallerAddress string `json:"caller-address"`
	ReadyAddress  string `json:"ready-address"`
	AdminAddress  string `json:"admin-address"`
	// PeerPort is the port on which control hosts accept connections of other hosts. MetricsPort is the port on which
	// all hosts serve metrics.
	PeerPort    uint16 `json:"peer-port"`
	MetricsPort uint16 `json:"metrics-port"`
	// PeerListenPort is the port on which this host listens for other hosts if a tunnel accepts their connections on
	// PeerPort and forwards them. 0 means PeerPort.
	PeerListenPort uint16 `json:"peer-listen-port"`
	// EndpointTunnel is the IP of a tunnel through which this host connects to endpoints, at the ports that they report.
	// Empty means that it connects to them directly. It is for a proxy of this host alone, on the machine or beside it; one that
	// several hosts share makes them lose the endpoints together.
	EndpointTunnel string `json:"endpoint-tunnel"`
	// DataCentres holds the regions of all data centres of the deployment, by name.
	DataCentres map[string]string `json:"data-centres"`
	// Seeds holds the admin addresses of some control hosts, which listen for other hosts on PeerPort.
	Seeds []string `json:"seeds"`
	// Bootstrap is set only at the first start of a deployment. The seeds then create the control log.
	Bootstrap  bool   `json:"found"`
	DataFolder string `json:"data-folder"`
	// MemoryMB and Descriptors are the limits of the process for memory and open file descriptors.
	MemoryMB    int64  `json:"memory-mb"`
	Descriptors int    `json:"descriptors"`
	Bounds      Bounds `json:"bounds"`
	// LogLevel is the name of a logrus level. Empty means "info".
	LogLevel string `json:"log-level"`
	// Decisions holds the assumptions behind the choice of model tiers. Fields that the file doesn't name have the
	// values of tiers.DefaultWeights.
	Decisions Decisions `json:"decisions"`
	// Clients bounds what clients may take of the process.
	Clients Clients `json:"clients"`
}

// Decisions holds the assumptions behind decisions, and which of them are taken.
type Decisions struct {
	tiers.Weights
	// Shed is set if requests beyond the capacity of a service are refused at once, with a time to come back.
	Shed bool `json:"shed"`
	// SharedSpeeds is set if hosts share what they measure of the speed of endpoints.
	SharedSpeeds bool `json:"shared-speeds"`
}

// IsNode reports whether a settings file is for a process of a routed deployment, which its key "part" tells. It
// returns an error if the file can't be read or isn't a JSON document.
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

// LoadNode reads and checks the settings of a process in a routed deployment. If a value is invalid, the error wraps a
// *Fault.
func LoadNode(path string) (Node, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("settings: %w; name a file that can be read", err)
	}
	return ParseNode(path, b)
}

// ParseNode is LoadNode for a file that was read. path is for its errors only.
func ParseNode(path string, b []byte) (Node, error) {
	n, err := DecodeOver(Node{Decisions: Decisions{Weights: tiers.DefaultWeights()}}, b)
	if err != nil {
		return n, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := n.Check(); err != nil {
		return n, fmt.Errorf("settings %s: %w", path, err)
	}
	return n, nil
}

// Check returns a *Fault for the first invalid setting, or nil.
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
	if _, err := netip.ParseAddr(n.EndpointTunnel); n.EndpointTunnel != "" && err != nil {
		return &Fault{Field: "endpoint-tunnel", What: fmt.Sprintf("is %q", n.EndpointTunnel), Remedy: "write an IP number or leave it out"}
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
	if n.Bounds.ColdOverage < 0 || n.Bounds.ColdSlack < 0 {
		return &Fault{Field: "bounds.cold-overage", What: "or bounds.cold-slack is negative", Remedy: "write a number that isn't negative, or leave both out"}
	}
	if err := n.checkDrains(); err != nil {
		return err
	}
	if err := n.checkDecisions(); err != nil {
		return err
	}
	if err := n.Clients.check(n.MemoryMB); err != nil {
		return err
	}
	return n.checkPart()
}

// checkDrains checks the settings about drains of data centres.
func (n Node) checkDrains() error {
	if n.Bounds.CentreDrain > 0 && len(n.DataCentres) == 0 {
		return &Fault{Field: "data-centres", What: "is empty though bounds.centre-drain is set", Remedy: "name the data centres that may be drained, or leave out bounds.centre-drain"}
	}
	return nil
}

// checkDecisions checks the weights of decisions.
func (n Node) checkDecisions() error {
	w := n.Decisions
	for _, s := range []struct {
		field string
		value float64
	}{{"wrong-share", w.WrongShare}, {"late-share", w.LateShare}} {
		if s.value < 0 || s.value > 1 {
			return &Fault{Field: "decisions." + s.field, What: fmt.Sprintf("is %v", s.value), Remedy: "write a share from 0 to 1"}
		}
	}
	for _, p := range []struct {
		field string
		value float64
	}{{"answer-worth", w.AnswerWorth}, {"delay-rate", w.DelayRate}, {"report-noise", w.ReportNoise}} {
		if p.value < 0 {
			return &Fault{Field: "decisions." + p.field, What: fmt.Sprintf("is %v", p.value), Remedy: "write a number that isn't negative"}
		}
	}
	return nil
}

// checkPart checks the settings that depend on the part of the process.
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

// checkAddress returns a *Fault for the field unless address has the form IP:PORT.
func checkAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &Fault{Field: field, What: fmt.Sprintf("is %q", address), Remedy: "write an IP and a port like \"10.0.0.1:7000\""}
	}
	return nil
}

// PeerAddress returns the address at which other hosts reach this host.
func (n Node) PeerAddress() string { return n.withPeerPort(n.IP) }

// PeerListenAddress returns the address at which this host listens for other hosts.
func (n Node) PeerListenAddress() string {
	if n.PeerListenPort == 0 {
		return n.PeerAddress()
	}
	return fmt.Sprintf("%s:%d", n.IP, n.PeerListenPort)
}

// SeedPeers returns the addresses at which other hosts reach the seeds. It skips seeds that are not of the form
// IP:PORT.
func (n Node) SeedPeers() []string {
	var r []string
	for _, s := range n.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			r = append(r, n.withPeerPort(a.Addr().String()))
		}
	}
	return r
}

// DrainableCentres returns the sorted names of the data centres that operators may drain, or nil if the settings don't allow it.
func (n Node) DrainableCentres() []string {
	if n.Bounds.CentreDrain == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(n.DataCentres))
}

// withPeerPort returns the address that consists of ip and PeerPort.
func (n Node) withPeerPort(ip string) string { return fmt.Sprintf("%s:%d", ip, n.PeerPort) }
