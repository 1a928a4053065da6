// Package conf reads and checks the settings files of processes: Settings for a host that serves contracts, and Node
// for a process in a routed deployment. Settings describe the process itself; the limits of customers are part of
// contracts.
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

// defaultDrainDelay replaces a DrainDelay that is missing or 0.
const defaultDrainDelay = model.Duration(3 * time.Second)

// TLS holds the paths of the files for mutual TLS between hosts and with operators. The files are read again when they
// change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// PeerRoute is the address at which this host reaches the host called Name.
type PeerRoute struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Settings holds the settings of a host that serves contracts.
type Settings struct {
	// Name is unique among the hosts and contains neither "/" nor "-".
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// CallerAddress is the listen address for callers and endpoints, PeerAddress the one for other hosts, and
	// AdminAddress the one for operators.
	CallerAddress string `json:"caller-address"`
	PeerAddress   string `json:"peer-address"`
	AdminAddress  string `json:"admin-address"`
	// Peers lists the hosts that are known at the first start, including this host.
	Peers []model.Member `json:"peers"`
	// PeerRoutes overrides the addresses at which this host reaches other hosts, for example through a tunnel.
	PeerRoutes []PeerRoute `json:"peer-routes"`
	// DataFolder is the folder of the stored data. It is empty on hosts without a disk, which can't be voters.
	DataFolder string `json:"data-folder"`
	// SessionKeys holds the secrets for session tokens. The first secret signs tokens; all of them verify tokens.
	SessionKeys []string `json:"session-keys"`
	// OperatorKeys holds the SHA-256 hashes, in hex, of the keys that operators present.
	OperatorKeys []string `json:"operator-keys"`
	// TLS is nil if hosts use plain TCP, which is meant only for trials on a single computer.
	TLS *TLS `json:"tls"`
	// DrainDelay is how long a host keeps serving in a planned stop after its readiness check fails, so that the load
	// balancer notices. The default is 3 s.
	DrainDelay model.Duration `json:"drain-delay"`
	// LogLevel is the name of a logrus level. Empty means "info".
	LogLevel string `json:"log-level"`
}

// Fault is the error for an invalid value in a settings file. It names the field, the problem and the remedy.
type Fault = model.Fault

// Load reads and checks the settings file of a host that serves contracts. If a value is invalid, the error wraps a
// *Fault.
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

// Decode decodes a JSON document. It returns an error if the document is invalid or has unknown keys, or if anything
// but white space follows the document.
func Decode[T any](content []byte) (T, error) {
	var v T
	return DecodeOver(v, content)
}

// DecodeOver is like Decode, but fields that the document doesn't name keep the values of v.
func DecodeOver[T any](v T, content []byte) (T, error) {
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

// Check returns a *Fault for the first invalid setting, or nil.
func (s Settings) Check() error {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/-"):
		return &Fault{Field: "name", What: "is empty or contains \"/\" or \"-\"", Remedy: "choose a name like \"bern1\""}
	case s.DataCentre == "":
		return &Fault{Field: "data-centre", What: "is empty", Remedy: "name the host's data centre"}
	case len(s.SessionKeys) == 0:
		return &Fault{Field: "session-keys", What: "is empty", Remedy: "give a secret of 16 characters or more, the same on all hosts"}
	}
	for _, k := range s.SessionKeys {
		if len(k) < 16 {
			return &Fault{Field: "session-keys", What: "contains a secret of fewer than 16 characters", Remedy: "give 16 characters or more"}
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
		return &Fault{Field: "operator-keys", What: "is empty although other hosts can reach the admin-address", Remedy: "give the hash of an operator's key"}
	}
	return s.checkPeers()
}

// checkPeers checks that each peer is valid, that this host is one of them, and that it has a data folder if it is a
// voter.
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
		return &Fault{Field: "peers", What: "does not contain this host", Remedy: "list all hosts known at the first start, including this one"}
	}
	return nil
}
