// Package itest holds the integration tests: they run the system as real processes behind a fault-injecting proxy.
package itest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// HostSpec describes one entry host of a cluster.
type HostSpec struct {
	Name       string
	DataCentre string
	// Voter hosts have a data folder.
	Voter bool
}

// Host is one entry host process.
type Host struct {
	HostSpec
	Settings     conf.Settings
	settingsPath string
	log          *os.File
	cmd          *exec.Cmd
}

// Cluster is a running system.
type Cluster struct {
	t       testing.TB
	binary  string
	folder  string
	Hosts   []*Host
	proxies map[[2]string]*toxiproxy.Proxy
}

// Build makes the program once for all tests of a process.
func Build(folder string) (string, error) {
	p := filepath.Join(folder, "hickoryshelf")
	c := exec.Command("go", "build", "-o", p, "github.com/hickoryshelf/hickoryshelf")
	if b, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, b)
	}
	return p, nil
}

// StartCluster founds a system on the first voter and starts all hosts, whose settings may be changed first.
func StartCluster(t testing.TB, binary string, specs []HostSpec, change ...func(*conf.Settings)) *Cluster {
	t.Helper()
	c := &Cluster{t: t, binary: binary, folder: t.TempDir(), proxies: make(map[[2]string]*toxiproxy.Proxy)}
	t.Cleanup(c.stop)
	var m []model.Member
	for _, s := range specs {
		h := &Host{HostSpec: s}
		h.Settings = conf.Settings{
			Name: s.Name, DataCentre: s.DataCentre, PeerAddress: FreeAddress(t), CallerAddress: FreeAddress(t),
			AdminAddress: FreeAddress(t), SessionKeys: []string{"proof-session-key"}, DrainDelay: model.Duration(time.Second), LogLevel: os.Getenv("PROOF_LOG_LEVEL"),
		}
		if s.Voter {
			h.Settings.DataFolder = filepath.Join(c.folder, s.Name)
		}
		m = append(m, model.Member{Name: s.Name, DataCentre: s.DataCentre, Address: h.Settings.PeerAddress, Voter: s.Voter})
		c.Hosts = append(c.Hosts, h)
	}
	f := false
	for _, h := range c.Hosts {
		h.Settings.Peers = m
		for _, f := range change {
			f(&h.Settings)
		}
		c.startProxies(h)
		c.writeSettings(h)
		if h.Voter && !f {
			f = true
			c.runProgram("init", "--settings", h.settingsPath)
		}
	}
	for _, h := range c.Hosts {
		c.StartHost(h)
	}
	return c
}

// addressCount counts those handed out by this process.
var addressCount atomic.Uint32

// FreeAddress returns a loopback address that no other process uses: outgoing connections never take ports
// of an IP that is this process's own.
func FreeAddress(t testing.TB) string {
	t.Helper()
	const ports = 1000
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, (os.Getpid()/250)%250, 1+n/ports, 7000+n%ports)
}

// startProxies makes a proxy from a host to each other.
func (c *Cluster) startProxies(h *Host) {
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	for _, o := range c.Hosts {
		if o == h {
			continue
		}
		p := toxiproxy.NewProxy(s, h.Name+"-"+o.Name, FreeAddress(c.t), o.Settings.PeerAddress)
		if err := p.Start(); err != nil {
			c.t.Fatal(err)
		}
		c.proxies[[2]string{h.Name, o.Name}] = p
		h.Settings.PeerRoutes = append(h.Settings.PeerRoutes, conf.PeerRoute{Name: o.Name, Address: p.Listen})
	}
}

func (c *Cluster) writeSettings(h *Host) {
	b, err := json.Marshal(h.Settings)
	if err != nil {
		c.t.Fatal(err)
	}
	h.settingsPath = filepath.Join(c.folder, h.Name+".json")
	if err := os.WriteFile(h.settingsPath, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// runProgram runs the program to its end.
func (c *Cluster) runProgram(args ...string) {
	c.t.Helper()
	if b, err := exec.Command(c.binary, args...).CombinedOutput(); err != nil {
		c.t.Fatalf("%v: %v: %s", args, err, b)
	}
}

// StartHost starts a host's process.
func (c *Cluster) StartHost(h *Host) {
	c.t.Helper()
	f, err := os.OpenFile(filepath.Join(c.folder, h.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	h.log = f
	h.cmd = exec.Command(c.binary, "serve", "--settings", h.settingsPath)
	h.cmd.Stdout, h.cmd.Stderr = f, f
	if err := h.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// Kill ends a host's process at once.
func (c *Cluster) Kill(h *Host) {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	_ = h.log.Close()
	h.cmd = nil
}

// Terminate asks a host to stop as planned and returns how its process ended.
func (c *Cluster) Terminate(h *Host) error {
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := h.cmd.Wait()
	_ = h.log.Close()
	h.cmd = nil
	return err
}

// Pause stops a host's process without ending it.
func (c *Cluster) Pause(h *Host) { _ = h.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (c *Cluster) Resume(h *Host) { _ = h.cmd.Process.Signal(syscall.SIGCONT) }

// Wipe removes a host's data folder.
func (c *Cluster) Wipe(h *Host) {
	if err := os.RemoveAll(h.Settings.DataFolder); err != nil {
		c.t.Fatal(err)
	}
}

func (c *Cluster) stop() {
	for _, h := range c.Hosts {
		if h.cmd != nil {
			c.Resume(h)
			c.Kill(h)
		}
	}
	for _, p := range c.proxies {
		p.Stop()
	}
	if c.t.Failed() && os.Getenv("PROOF_KEEP") != "" {
		for _, h := range c.Hosts {
			b, _ := os.ReadFile(filepath.Join(c.folder, h.Name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("PROOF_KEEP"), h.Name+".log"), b, 0o600)
		}
	}
}

// Partition stops all data between the hosts of a and those of b, silently.
func (c *Cluster) Partition(a, b []*Host) {
	c.eachProxy(a, b, func(p *toxiproxy.Proxy) {
		for _, d := range []string{"upstream", "downstream"} {
			j := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, d, d)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(j)); err != nil {
				c.t.Logf("cut: %v", err)
			}
		}
	})
}

// Heal lets data pass again between the hosts of a and those of b.
func (c *Cluster) Heal(a, b []*Host) {
	c.eachProxy(a, b, func(p *toxiproxy.Proxy) { p.Toxics.ResetToxics(context.Background()) })
}

func (c *Cluster) eachProxy(a, b []*Host, do func(*toxiproxy.Proxy)) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				do(c.proxies[[2]string{x.Name, y.Name}])
				do(c.proxies[[2]string{y.Name, x.Name}])
			}
		}
	}
}

// InDataCentre returns the hosts of a data centre, and all others.
func (c *Cluster) InDataCentre(dataCentre string) (in, out []*Host) {
	for _, h := range c.Hosts {
		if h.DataCentre == dataCentre {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	return in, out
}

// AllExcept returns all hosts but the given one.
func (c *Cluster) AllExcept(host *Host) []*Host {
	var r []*Host
	for _, h := range c.Hosts {
		if h != host {
			r = append(r, h)
		}
	}
	return r
}

// CallerAddresses returns the addresses that take callers and endpoints.
func (c *Cluster) CallerAddresses(hosts []*Host) []string {
	var r []string
	for _, h := range hosts {
		r = append(r, h.Settings.CallerAddress)
	}
	return r
}

// Admin returns a client of a host's administration API.
func (h *Host) Admin() admpb.AdminServiceClient {
	return admpb.NewAdminServiceClient(&http.Client{Timeout: 8 * time.Second}, "http://"+h.Settings.AdminAddress)
}

// Pid returns the process id of a running host.
func (h *Host) Pid() int { return h.cmd.Process.Pid }
