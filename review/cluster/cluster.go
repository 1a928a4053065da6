// Package cluster runs processes of this project for the scripts of the third review.
package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each process on its own IP, counted from the first port of the cluster. Other hosts connect to PeerPort; a process behind a link
// listens on ListenPort. ServerPort and the one after it are those of servers.
const (
	PeerPort = iota
	ListenPort
	AdminPort
	CallerPort
	readyPort
	metricsPort
	ServerPort
	portCount = ServerPort + 2
)

const (
	// seedCount is the number of control hosts that the settings name.
	seedCount = 3
	// hostCount is the number of IPs that are tried before a cluster uses them, and triesCount that of first ports that are tried.
	hostCount  = 210
	triesCount = 50
)

// Recorder writes what happened to a file.
type Recorder struct {
	lock  sync.Mutex
	file  io.Writer
	begun time.Time
}

// NewRecorder returns a recorder that writes to a new file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	return &Recorder{file: f, begun: time.Now()}, err
}

// Logf writes a line with the time since the beginning.
func (r *Recorder) Logf(format string, a ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

// Cluster is a set of processes, each on a loopback IP of its own.
type Cluster struct {
	folder, subnet, binary string
	firstPort              int
	bounds                 map[string]any
	lock                   sync.Mutex
	processes              map[string]*exec.Cmd
	closed                 bool
}

// New returns a cluster without processes, in a temporary folder. bounds are the settings of that name. If the program is told to end, it
// ends the processes before.
func New(binary string, bounds map[string]any) (*Cluster, error) {
	t, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		folder: t, subnet: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250), binary: binary, bounds: bounds, processes: map[string]*exec.Cmd{},
	}
	g := make(chan os.Signal, 1)
	signal.Notify(g, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-g
		c.Close()
		os.Exit(2)
	}()
	if err := c.choosePorts(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// choosePorts chooses the first ports of which all are free on all IPs.
func (c *Cluster) choosePorts() error {
	for k := range triesCount {
		c.firstPort = 7801 + 20*k
		if c.isFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports on %s.0", c.subnet)
}

// isFree reports whether all ports are free on all IPs.
func (c *Cluster) isFree() bool {
	for n := 1; n <= hostCount; n++ {
		for p := range portCount {
			l, err := net.Listen("tcp", c.Address(n, p))
			if err != nil {
				return false
			}
			_ = l.Close() // nothing connected to it
		}
	}
	return true
}

// IP returns the n-th IP.
func (c *Cluster) IP(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

// Port returns the number of a port.
func (c *Cluster) Port(port int) int { return c.firstPort + port }

// Address returns a port on the n-th IP.
func (c *Cluster) Address(n, port int) string { return fmt.Sprintf("%s:%d", c.IP(n), c.Port(port)) }

// Start starts a process on the n-th IP, with more settings than the usual ones. The first three IPs are those of the seeds.
func (c *Cluster) Start(name string, n int, more map[string]any) error {
	seeds := []string{}
	for k := 1; k <= seedCount; k++ {
		seeds = append(seeds, c.Address(k, AdminPort))
	}
	v := map[string]any{
		"part": "entry", "name": name, "data-centre": fmt.Sprintf("z%d", 1+(n-1)%3), "ip": c.IP(n), "peer-port": c.Port(PeerPort), "metrics-port": c.Port(metricsPort),
		"caller-address": c.Address(n, CallerPort), "ready-address": c.Address(n, readyPort), "admin-address": c.Address(n, AdminPort),
		"seeds": seeds, "found": true, "data-folder": filepath.Join(c.folder, name), "memory-mb": 284, "descriptors": 4100, "bounds": c.bounds,
	}
	maps.Copy(v, more)
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f := filepath.Join(c.folder, name+".json")
	if err := os.WriteFile(f, b, 0o600); err != nil {
		return err
	}
	l, err := os.OpenFile(c.LogPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer l.Close() //nolint:errcheck // the process has its own descriptor
	p := exec.Command(c.binary, "serve", "--settings", f)
	p.Stdout, p.Stderr = l, l
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return os.ErrClosed
	}
	c.processes[name] = p
	return p.Start()
}

// LogPath returns the path of the log of a process.
func (c *Cluster) LogPath(name string) string { return filepath.Join(c.folder, name+".log") }

// Kill ends a process with SIGKILL.
func (c *Cluster) Kill(name string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.kill(name)
}

// kill is Kill for a caller that holds the lock.
func (c *Cluster) kill(name string) {
	if p := c.processes[name]; p != nil && p.Process != nil {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()         // it says only that it was killed
	}
	delete(c.processes, name)
}

// Wipe removes the disk of a process that doesn't run.
func (c *Cluster) Wipe(name string) error { return os.RemoveAll(filepath.Join(c.folder, name)) }

// Close ends all processes. It removes their logs unless the variable KEEP is set.
func (c *Cluster) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for n := range maps.Clone(c.processes) {
		c.kill(n)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder) // nothing depends on it
	} else {
		fmt.Println(c.folder)
	}
}
