// Package itest holds the integration tests. They run the built program as separate processes that reach each other
// through fault-injecting proxies; model engines and services are fakes within the test process.
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

// HostSpec describes one host of a cluster.
type HostSpec struct {
	Name       string
	DataCentre string
	// Voter makes the host a voting member of the quorum, with a data folder.
	Voter bool
}

// Host is one host of a cluster and its process. cmd is nil while the process does not run.
type Host struct {
	HostSpec
	Settings     conf.Settings
	settingsPath string
	log          *os.File
	cmd          *exec.Cmd
}

// Cluster is a set of hosts on loopback addresses, without a separate control service. proxies is keyed by the names of
// the sending and the receiving host.
type Cluster struct {
	t       testing.TB
	binary  string
	folder  string
	Hosts   []*Host
	proxies map[[2]string]*toxiproxy.Proxy
}

// Build compiles the program into folder and returns the path of the binary. The error of a failed build includes the
// output of the compiler.
func Build(folder string) (string, error) {
	return build(folder, "hickoryshelf", "github.com/hickoryshelf/hickoryshelf")
}

// BuildWithDisks is like Build, for the program whose disks Deployment.DisturbDisk disturbs.
func BuildWithDisks(folder string) (string, error) {
	return build(folder, "hickoryshelf-disks", "github.com/hickoryshelf/hickoryshelf/itest/disks")
}

// build compiles a program under a name.
func build(folder, name, path string) (string, error) {
	p := filepath.Join(folder, name)
	c := exec.Command("go", "build", "-o", p, path)
	if b, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", name, err, b)
	}
	return p, nil
}

// StartCluster initialises the quorum on the first voter and starts all hosts. Each change function may modify the
// settings of each host before they are written. All processes and proxies end with the test; if the test failed and
// PROOF_KEEP is set, the logs are copied to the folder that PROOF_KEEP names.
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

// addressCount counts the allocations of addresses by FreeAddress and of subnets by StartDeployment in this process.
var addressCount atomic.Uint32

// FreeAddress returns a loopback address, as IP and port, that no other process uses. The IP is derived from the process
// id: on 127.0.0.1 an outgoing connection of any process could take the port before the host listens on it, while
// outgoing connections never take ports on an IP that belongs to this process alone.
func FreeAddress(t testing.TB) string {
	t.Helper()
	const ports = 1000
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, (os.Getpid()/250)%250, 1+n/ports, 7000+n%ports)
}

// startProxies starts a proxy from h to each other host and adds the proxies to the peer routes of h.
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

// writeSettings writes the settings file of h.
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

// runProgram runs the program with the arguments and fails the test if it exits with an error.
func (c *Cluster) runProgram(args ...string) {
	c.t.Helper()
	if b, err := exec.Command(c.binary, args...).CombinedOutput(); err != nil {
		c.t.Fatalf("%v: %v: %s", args, err, b)
	}
}

// StartHost starts the process of h. Its output is appended to one log file across restarts.
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

// Kill ends the process of h with SIGKILL and waits for its exit. It does nothing if the process does not run.
func (c *Cluster) Kill(h *Host) {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
	_ = h.log.Close()
	h.cmd = nil
}

// Terminate requests a planned stop of h with SIGTERM, waits for the exit and returns its error.
func (c *Cluster) Terminate(h *Host) error {
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := h.cmd.Wait()
	_ = h.log.Close()
	h.cmd = nil
	return err
}

// Pause suspends the process of h with SIGSTOP.
func (c *Cluster) Pause(h *Host) { _ = h.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues the suspended process of h.
func (c *Cluster) Resume(h *Host) { _ = h.cmd.Process.Signal(syscall.SIGCONT) }

// Wipe removes the data folder of h. The process of h must not run.
func (c *Cluster) Wipe(h *Host) {
	if err := os.RemoveAll(h.Settings.DataFolder); err != nil {
		c.t.Fatal(err)
	}
}

// stop ends all processes and proxies and keeps the logs of a failed test if PROOF_KEEP is set.
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

// Partition drops all data between the hosts of a and the hosts of b in both directions. Connections stay open, so
// neither side gets an error.
func (c *Cluster) Partition(a, b []*Host) {
	c.eachProxy(a, b, func(p *toxiproxy.Proxy) {
		for _, d := range []string{"upstream", "downstream"} {
			j := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, d, d)
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(j)); err != nil {
				c.t.Logf("add timeout toxic: %v", err)
			}
		}
	})
}

// Heal removes the partition between the hosts of a and the hosts of b.
func (c *Cluster) Heal(a, b []*Host) {
	c.eachProxy(a, b, func(p *toxiproxy.Proxy) { p.Toxics.ResetToxics(context.Background()) })
}

// eachProxy calls do with each proxy between a host of a and a host of b, in both directions.
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

// InDataCentre returns the hosts in the given data centre and the hosts outside it.
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

// AllExcept returns all hosts except host.
func (c *Cluster) AllExcept(host *Host) []*Host {
	var r []*Host
	for _, h := range c.Hosts {
		if h != host {
			r = append(r, h)
		}
	}
	return r
}

// CallerAddresses returns the addresses on which the hosts take requests of callers and announcements of endpoints.
func (c *Cluster) CallerAddresses(hosts []*Host) []string {
	var r []string
	for _, h := range hosts {
		r = append(r, h.Settings.CallerAddress)
	}
	return r
}

// Admin returns a client of the administration API of h with a timeout of 8 s per call.
func (h *Host) Admin() admpb.AdminServiceClient {
	return admpb.NewAdminServiceClient(&http.Client{Timeout: 8 * time.Second}, "http://"+h.Settings.AdminAddress)
}

// Pid returns the process id of h, which must run.
func (h *Host) Pid() int { return h.cmd.Process.Pid }
