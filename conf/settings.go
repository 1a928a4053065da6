// Package conf reads and checks the settings of an entry host. Settings hold what a process must know of
// itself; everything that limits customers stands in contracts.
package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

const defaultDrainDelay = model.Duration(3 * time.Second)

// TLS names the files for mutual TLS between hosts and towards operators. They are read again when they
// change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// PeerRoute is the address under which one host reaches another.
type PeerRoute struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Settings are those of one entry host.
type Settings struct {
	// Name is unique among hosts and holds no "/" or "-".
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// CallerAddress takes callers and endpoints, PeerAddress other hosts, AdminAddress operators.
	CallerAddress string `json:"caller-address"`
	PeerAddress   string `json:"peer-address"`
	AdminAddress  string `json:"admin-address"`
	// Peers are the hosts known from the start, this one among them.
	Peers []model.Member `json:"peers"`
	// PeerRoutes are addresses under which this host reaches others where they differ from the members'
	// own, as behind a tunnel.
	PeerRoutes []PeerRoute `json:"peer-routes"`
	// DataFolder is empty on hosts without a disk.
	DataFolder string `json:"data-folder"`
	// SessionKeys sign session tokens; the first signs, all verify.
	SessionKeys []string `json:"session-keys"`
	// OperatorKeys are hex SHA-256 sums of the keys that operators present.
	OperatorKeys []string `json:"operator-keys"`
	// TLS is nil where hosts talk plain TCP, which is for trials on one machine.
	TLS *TLS `json:"tls"`
	// DrainDelay is how long a planned stop serves on after readiness fails, for the balancer to notice;
	// 3 s where none is given.
	DrainDelay model.Duration `json:"drain-delay"`
	// LogLevel is one of logrus's levels; empty means "info".
	LogLevel string `json:"log-level"`
}

// Fault is an error in a settings file.
type Fault = model.Fault

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w; name a file that can be read", err)
	}
	s, err := Decode[Settings](b)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	if s.DrainDelay == 0 {
		s.DrainDelay = defaultDrainDelay
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Decode reads a JSON document and refuses unknown keys and anything behind it.
func Decode[T any](content []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, fmt.Errorf("byte %d: %w; correct the document", d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return v, fmt.Errorf("byte %d: something follows the document; remove it", d.InputOffset())
	}
	return v, nil
}

// Check returns a Fault that names the field, the fault and the remedy.
func (s Settings) Check() error {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/-"):
		return &Fault{Field: "name", What: "is empty or holds \"/\" or \"-\"", Remedy: "choose a name like \"bern1\""}
	case s.DataCentre == "":
		return &Fault{Field: "data-centre", What: "is empty", Remedy: "name the host's data centre"}
	case len(s.SessionKeys) == 0:
		return &Fault{Field: "session-keys", What: "is empty", Remedy: "give a secret of 16 characters or more, the same on all hosts"}
	}
	for _, k := range s.SessionKeys {
		if len(k) < 16 {
			return &Fault{Field: "session-keys", What: "holds a short secret", Remedy: "give 16 characters or more"}
		}
	}
	for _, a := range []struct{ field, address string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress}, {"admin-address", s.AdminAddress},
	} {
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return &Fault{Field: a.field, What: fmt.Sprintf("is %q", a.address), Remedy: "write an IP and a port like \"10.0.0.1:7000\""}
		}
	}
	if a, err := netip.ParseAddrPort(s.AdminAddress); err == nil && !a.Addr().IsLoopback() && len(s.OperatorKeys) == 0 {
		return &Fault{Field: "operator-keys", What: "is empty beside an admin-address that others reach", Remedy: "name the hash of an operator's key"}
	}
	return s.checkPeers()
}

func (s Settings) checkPeers() error {
	f := false
	for i, p := range s.Peers {
		if err := p.Check(); err != nil {
			return &Fault{Field: fmt.Sprintf("peers[%d]", i), What: err.Error(), Remedy: "correct the entry"}
		}
		f = f || p.Name == s.Name
		if p.Name == s.Name && p.Voter && s.DataFolder == "" {
			return &Fault{Field: "data-folder", What: "is empty on a voter", Remedy: "name a folder on a disk or set voter to false"}
		}
	}
	if !f {
		return &Fault{Field: "peers", What: "lacks this host", Remedy: "list all hosts known from the start, this one among them"}
	}
	return nil
}
