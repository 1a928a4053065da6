// Package cluster runs processes of this project for the scripts of the third review.
package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each process on its own IP. Other hosts connect to PeerPort; a process behind a link listens on ListenPort.
const (
	PeerPort    = 7801
	ListenPort  = 7802
	AdminPort   = 7803
	CallerPort  = 7804
	readyPort   = 7805
	metricsPort = 7806
	// seedCount is the number of control hosts that the settings name.
	seedCount = 3
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
	bounds                 map[string]any
	lock                   sync.Mutex
	processes              map[string]*exec.Cmd
	closed                 bool
}

// New returns a cluster without processes, in a temporary folder. bounds are the settings of that name. If the program is told to end, it
// ends the processes before.
func New(binary string, bounds map[string]any) (*Cluster, error) {
	t, err := os.MkdirTemp("", "review")
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
	return c, err
}

// IP returns the n-th IP.
func (c *Cluster) IP(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

// Address returns a port on the n-th IP.
func (c *Cluster) Address(n, port int) string { return fmt.Sprintf("%s:%d", c.IP(n), port) }

// Start starts a process on the n-th IP, with more settings than the usual ones. The first three IPs are those of the seeds.
func (c *Cluster) Start(name string, n int, more map[string]any) error {
	seeds := []string{}
	for k := 1; k <= seedCount; k++ {
		seeds = append(seeds, c.Address(k, AdminPort))
	}
	v := map[string]any{
		"part": "entry", "name": name, "data-centre": fmt.Sprintf("z%d", 1+(n-1)%3), "ip": c.IP(n), "peer-port": PeerPort, "metrics-port": metricsPort,
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
