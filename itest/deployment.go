package itest

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/hickoryshelf/hickoryshelf/store"
)

// Ports of a process on its own IP. Other hosts connect to peerPort of a control host. The proxy listens there and
// forwards to peerListenPort, on which the process listens.
const (
	peerPort       = 7801
	peerListenPort = 7802
	adminPort      = 7803
	callerPort     = 7804
	readyPort      = 7805
	metricsPort    = 7806
)

// tunnelOctet is the last byte of the IP of the first tunnel, and sourceOctet that of the IP of its connections.
const (
	tunnelOctet = 100
	sourceOctet = 150
)

// Process is one control host or entry host of a deployment.
type Process struct {
	Name       string
	IP         string
	Control    bool
	DataCentre string
	// Proxy forwards the traffic of all other hosts to a control host, for fault injection. It is nil for entry hosts.
	Proxy *toxiproxy.Proxy
	// Tunnel forwards the traffic of an entry host to the endpoints, for fault injection. It is nil for control hosts, and
	// for entry hosts that connect to endpoints directly.
	Tunnel *Tunnel
	// cmd is the latest start of the process; it is nil before the first one.
	cmd atomic.Pointer[exec.Cmd]
	// Binary is the program that the next start runs.
	Binary string
	// bootstrap is true at the first start of the deployment, in which the seeds create the control log.
	bootstrap bool
}

// Deployment is a set of control hosts and entry hosts that run as separate processes, each on its own loopback IP.
// subnet is the first three bytes of these IPs.
type Deployment struct {
	t           testing.TB
	folder      string
	proxyServer *toxiproxy.ApiServer
	subnet      string
	// Control holds the control hosts in force. Tests that replace some while other goroutines run read it by Controls.
	Control []*Process
	Entry   []*Process
	// former holds the control hosts that were replaced, and lock guards both lists.
	former []*Process
	lock   sync.Mutex
	// Mesh carries the connections to control hosts, for fault injection on the link of any two processes. It is nil in a
	// deployment whose control hosts have a Proxy each.
	Mesh *Mesh
	// Grace is the time that processes have for a planned stop. A change holds for processes that start after it.
	Grace time.Duration
	// CentreDrain is the setting of that name, or 0 for none: older builds refuse it. A change holds for processes that start after it.
	CentreDrain time.Duration
	// bounds are settings of bounds in addition to the usual ones.
	bounds map[string]any
	// decisions is the section of that name of the settings, or nil.
	decisions map[string]any
	// MemoryMB and Descriptors are the limits of each process.
	MemoryMB    int64
	Descriptors int
}

// StartDeployment creates and starts a deployment with one control host in each of three data centres and the given
// number of entry hosts, spread over these data centres. All processes and proxies end with the test.
func StartDeployment(t testing.TB, binary string, entries int) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: usualControls, entries: entries})
}

// StartTunnelledDeployment is like StartDeployment, but entry hosts connect to endpoints through a Tunnel each.
func StartTunnelledDeployment(t testing.TB, binary string, entries int) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: usualControls, entries: entries, tunnels: true})
}

// StartDrainableDeployment is like StartTunnelledDeployment, but data centres can be drained, within the given time.
func StartDrainableDeployment(t testing.TB, binary string, entries int, centreDrain time.Duration) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: usualControls, entries: entries, tunnels: true, centreDrain: centreDrain})
}

// StartSoakDeployment is like StartDrainableDeployment, but with settings of bounds in addition to the usual ones, and with the decisions
// that are off by default.
func StartSoakDeployment(t testing.TB, binary string, entries int, centreDrain time.Duration, bounds map[string]any) *Deployment {
	t.Helper()
	d := map[string]any{"shared-speeds": true, "shed": true}
	return startDeployment(t, binary, layout{controls: usualControls, entries: entries, tunnels: true, centreDrain: centreDrain, bounds: bounds, decisions: d})
}

// StartMeshedDeployment is like StartDeployment, but has the given number of control hosts, and a Mesh in place of the proxies.
func StartMeshedDeployment(t testing.TB, binary string, controls, entries int) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: controls, entries: entries, mesh: true})
}

// StartBoundedDeployment is like StartDeployment, or like StartTunnelledDeployment if tunnels is set, with settings of bounds in addition
// to the usual ones.
func StartBoundedDeployment(t testing.TB, binary string, entries int, tunnels bool, bounds map[string]any) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: usualControls, entries: entries, tunnels: tunnels, bounds: bounds})
}

// StartLimitedDeployment starts a deployment with one control host and one entry host, whose settings name the given limits of memory
// and file descriptors.
func StartLimitedDeployment(t testing.TB, binary string, memoryMB int64, descriptors int) *Deployment {
	t.Helper()
	return startDeployment(t, binary, layout{controls: 1, entries: 1, memoryMB: memoryMB, descriptors: descriptors})
}

// usualControls is the number of control hosts unless a test asks for another one, and centreCount that of data centres.
const (
	usualControls = 3
	centreCount   = 3
)

// layout says what a deployment consists of: the numbers of hosts, whether entry hosts have a Tunnel each, whether it has
// a Mesh, the setting centre-drain, settings of bounds in addition to the usual ones, and the limits of each process, or 0 for usualMemoryMB
// and usualDescriptors.
type layout struct {
	controls, entries int
	tunnels, mesh     bool
	centreDrain       time.Duration
	bounds            map[string]any
	// decisions is the section of that name of the settings of all processes, or nil.
	decisions   map[string]any
	memoryMB    int64
	descriptors int
}

const (
	// usualMemoryMB and usualDescriptors are the limits of a process unless a test asks for others.
	usualMemoryMB    = 280
	usualDescriptors = 4000
)

func startDeployment(t testing.TB, binary string, y layout) *Deployment {
	t.Helper()
	n := addressCount.Add(1)
	d := &Deployment{t: t, Grace: usualGrace, CentreDrain: y.centreDrain, bounds: y.bounds, decisions: y.decisions, folder: t.TempDir(), subnet: fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 100+n%100)}
	d.MemoryMB, d.Descriptors = cmp.Or(y.memoryMB, usualMemoryMB), cmp.Or(y.descriptors, usualDescriptors)
	d.proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	t.Cleanup(d.stop)
	if y.mesh {
		d.Mesh = newMesh(d)
	}
	for k := range y.controls {
		d.Control = append(d.Control, d.newProcess(fmt.Sprint("control", k), k+1, k%centreCount, true))
	}
	for k := range y.entries {
		p := d.newProcess(fmt.Sprint("entry", k), 10+k, k%centreCount, false)
		if y.tunnels {
			p.Tunnel = NewTunnel(t, fmt.Sprintf("%s.%d", d.subnet, tunnelOctet+k), fmt.Sprintf("%s.%d", d.subnet, sourceOctet+k), d.EndpointIP())
		}
		d.Entry = append(d.Entry, p)
	}
	for _, p := range append(d.Control, d.Entry...) {
		p.bootstrap, p.Binary = true, binary
		d.Start(p)
		p.bootstrap = false
	}
	return d
}

// newProcess returns a process on the IP with the given last byte in the data centre with the given number. It starts the
// proxy of a control host but not the process.
func (d *Deployment) newProcess(name string, lastOctet, centre int, control bool) *Process {
	p := &Process{Name: name, IP: fmt.Sprintf("%s.%d", d.subnet, lastOctet), Control: control, DataCentre: fmt.Sprint("centre", centre)}
	if control && d.Mesh != nil {
		d.Mesh.listen(p)
	} else if control {
		p.Proxy = toxiproxy.NewProxy(d.proxyServer, name, fmt.Sprintf("%s:%d", p.IP, peerPort), fmt.Sprintf("%s:%d", p.IP, peerListenPort))
		if err := p.Proxy.Start(); err != nil {
			d.t.Fatal(err)
		}
	}
	return p
}

// LogPath returns the path of the log file of p. All starts of p append to the same file.
func (d *Deployment) LogPath(p *Process) string { return filepath.Join(d.folder, p.Name+".log") }

// EndpointIP returns the loopback IP on which stand-ins for endpoints listen.
func (d *Deployment) EndpointIP() string { return d.subnet + ".200" }

// Start writes the settings of p and starts its process.
func (d *Deployment) Start(p *Process) {
	d.t.Helper()
	d.WriteSettings(p)
	d.StartAgain(p)
}

// StartAgain starts the process of p with the settings that were written last, which may name control hosts that were replaced since.
func (d *Deployment) StartAgain(p *Process) {
	d.t.Helper()
	f := d.settingsPath(p)
	l, err := os.OpenFile(d.LogPath(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // the child process has its own descriptor
	c := exec.Command(p.Binary, "serve", "--settings", f)
	c.Stdout, c.Stderr = l, l
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	p.cmd.Store(c)
}

// KeepLogs copies the logs of all processes to a new folder outside the folder of the test, which is removed at the end
// of the test. It returns the path of the new folder, or the text of the error if it can't be created.
func (d *Deployment) KeepLogs() string {
	f, err := os.MkdirTemp("", "hickoryshelf-logs")
	if err != nil {
		return err.Error()
	}
	for _, p := range d.processes() {
		b, err := os.ReadFile(d.LogPath(p))
		if err == nil {
			err = os.WriteFile(filepath.Join(f, p.Name+".log"), b, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
	return f
}

// Signal sends a signal to the latest process of p and logs a failure. It may run beside Kill and Start.
func (d *Deployment) Signal(p *Process, s syscall.Signal) {
	if err := p.cmd.Load().Process.Signal(s); err != nil {
		d.t.Logf("signal %v to %s: %v", s, p.Name, err)
	}
}

// ProcessorTime returns the processor time that the latest process of p has used, or 0 if it isn't known.
func (d *Deployment) ProcessorTime(p *Process) time.Duration {
	l, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Load().Process.Pid))
	if err != nil {
		return 0
	}
	var r time.Duration
	for _, f := range l {
		b, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		var n int64
		if _, err := fmt.Sscan(string(b), &n); err == nil {
			r += time.Duration(n)
		}
	}
	return r
}

// Kill ends the process of p with SIGKILL and waits for its exit.
func (d *Deployment) Kill(p *Process) {
	d.Signal(p, syscall.SIGKILL)
	_ = p.cmd.Load().Wait() // the error only says that the process was killed
}

// Terminate requests a planned stop of p with SIGTERM, waits for the exit and returns its error.
func (d *Deployment) Terminate(p *Process) error {
	d.Signal(p, syscall.SIGTERM)
	return p.cmd.Load().Wait()
}

// DisturbDisk makes the disk of a control host stand or slow, by the name of a file of package stall, or no longer. Its program
// is one of BuildWithDisks.
func (d *Deployment) DisturbDisk(p *Process, name string, disturbed bool) {
	f := filepath.Join(d.folder, p.Name, name)
	err := os.Remove(f)
	if disturbed {
		err = os.WriteFile(f, nil, 0o600)
	}
	if err != nil {
		d.t.Log(err)
	}
}

// Wipe removes the data folder of a control host. Its process must not run.
func (d *Deployment) Wipe(p *Process) {
	if err := os.RemoveAll(filepath.Join(d.folder, p.Name)); err != nil {
		d.t.Fatal(err)
	}
}

// AppendPartialRecord appends the beginning of a record to the log of a control host, as a crash during a write leaves
// it. The process of the host must not run.
func (d *Deployment) AppendPartialRecord(p *Process) {
	d.rewriteLog(p, func(b []byte) []byte { return append(b, b[:min(len(b), partialRecordSize)]...) })
}

// AppendTornWrite appends a write to the log of a control host, of which one sector doesn't hold what was written, as a loss of
// power during a write leaves it. The process of the host must not run.
func (d *Deployment) AppendTornWrite(p *Process, sector int, fill byte) {
	l, _, err := store.OpenMarkedLog(filepath.Join(d.folder, p.Name, "quorum.log"))
	if err != nil {
		d.t.Fatal(err)
	}
	n := int(l.Size())
	for range tornRecords {
		l.Append(fmt.Appendf(nil, `{"nothing":"%0*d"}`, tornRecordSize, 0))
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		d.t.Fatal(err)
	}
	d.rewriteLog(p, func(b []byte) []byte { return withHole(withoutLastRecord(b), n, sector, fill) })
}

const (
	// tornRecords is the number of records in a torn write, and tornRecordSize the size of each in bytes, beside its frame.
	// Control hosts ignore them if they read them.
	tornRecords    = 3
	tornRecordSize = 700
	// sectorSize is the unit that a disk writes as a whole, in bytes.
	sectorSize = 512
)

// withoutLastRecord returns the content of a log without its last record, the sync mark.
func withoutLastRecord(b []byte) []byte { return b[:bytes.LastIndex(b, b[:4])] }

// withHole overwrites a sector of what a log with content b holds from a position on, counted from that position.
func withHole(b []byte, position, sector int, fill byte) []byte {
	e := (position/sectorSize + sector) * sectorSize
	for i := max(position, e); i < min(len(b), e+sectorSize); i++ {
		b[i] = fill
	}
	return b
}

// CorruptLog inverts one byte within the first record of the log of a control host, as a disk does that returns wrong
// data. The process of the host must not run.
func (d *Deployment) CorruptLog(p *Process) {
	d.rewriteLog(p, func(b []byte) []byte {
		if len(b) > partialRecordSize {
			b[partialRecordSize] ^= 0xff
		}
		return b
	})
}

// partialRecordSize is longer than the header of a log record and shorter than any whole record, in bytes.
const partialRecordSize = 18

// rewriteLog replaces the log of a control host by the result of f. The process of the host must not run.
func (d *Deployment) rewriteLog(p *Process, f func([]byte) []byte) {
	n := filepath.Join(d.folder, p.Name, "quorum.log")
	b, err := os.ReadFile(n)
	if err == nil {
		err = os.WriteFile(n, f(b), 0o600)
	}
	if err != nil {
		d.t.Fatal(err)
	}
}

// WaitExit waits for a process that is expected to exit without another signal and returns its exit error. A process that
// still runs exitMargin after the time of a planned stop is killed and fails the test.
func (d *Deployment) WaitExit(p *Process) error {
	t := time.AfterFunc(d.Grace+exitMargin, func() {
		d.t.Errorf("%s still runs but should have exited", p.Name)
		d.Signal(p, syscall.SIGKILL)
	})
	defer t.Stop()
	return p.cmd.Load().Wait()
}

const (
	// usualGrace is the time that processes have for a planned stop unless a test changes it.
	usualGrace = 4 * time.Second
	// exitMargin is how much longer than that a process may take to exit.
	exitMargin = time.Second
)

// stop ends all processes and proxies.
func (d *Deployment) stop() {
	for _, p := range d.processes() {
		if c := p.cmd.Load(); c != nil && c.ProcessState == nil {
			d.Signal(p, syscall.SIGCONT)
			d.Kill(p)
		}
		if p.Proxy != nil {
			p.Proxy.Stop()
		}
	}
	if d.Mesh != nil {
		d.Mesh.close()
	}
}

// Admin sends a request to the administration API of a control host, with a timeout of 1 s, and returns the status code
// and the body.
func (d *Deployment) Admin(p *Process, method, path string, body []byte) (int, []byte, error) {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.IP, adminPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Timeout: time.Second}
	a, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close() //nolint:errcheck // the body is read to its end
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, b, err
}

// AdminAddress returns the address at which a control host takes the orders of operators.
func (d *Deployment) AdminAddress(p *Process) string { return fmt.Sprintf("%s:%d", p.IP, adminPort) }

// AwaitConfig sends a configuration until it is acknowledged, and waits until all entry hosts are ready.
func (d *Deployment) AwaitConfig(document []byte) {
	d.t.Helper()
	Eventually(d.t, 15*time.Second, func() error {
		c, _, err := d.Admin(d.Control[0], http.MethodPost, "/config/put", document)
		if err == nil && c != http.StatusOK {
			err = fmt.Errorf("status %d", c)
		}
		return err
	})
	for _, e := range d.Entry {
		Eventually(d.t, 10*time.Second, func() error {
			if !d.Ready(e) {
				return fmt.Errorf("%s isn't ready", e.Name)
			}
			return nil
		})
	}
}

// CallerURL returns the base URL at which an entry host takes requests of callers.
func (d *Deployment) CallerURL(p *Process) string {
	return fmt.Sprintf("http://%s:%d", p.IP, callerPort)
}

// Ready reports whether the readiness check of an entry host answers with status 200 within 300 ms.
func (d *Deployment) Ready(p *Process) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", p.IP, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close() // the body is not read
	return a.StatusCode == http.StatusOK
}

// Metric returns the value of a metric of a process, or an empty text if the process doesn't have it.
func (d *Deployment) Metric(p *Process, name string) string {
	a, err := http.Get(fmt.Sprintf("http://%s:%d/", p.IP, metricsPort))
	if err != nil {
		d.t.Error(err)
		return ""
	}
	defer a.Body.Close() //nolint:errcheck // the body is read to its end
	b, err := io.ReadAll(a.Body)
	if err != nil {
		d.t.Error(err)
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
