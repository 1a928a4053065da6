package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// binary is the program of the deploy file, relative to the root of the repository.
const binary = "target/hickoryshelf"

// Bounds of a small deployment, as the settings of its processes name them.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
	applyTime   = 2 * time.Second
)

// process is one process of hickoryshelf on a loopback address of its own.
type process struct {
	name, ip, zone string
	control        bool
	cluster        *cluster
	// seeds replaces the seeds of the cluster, unless it is nil.
	seeds []string
	// tunnel is the IP of a proxy to which the connections to servers go, or empty.
	tunnel string
	cmd    *exec.Cmd
}

// cluster is a small deployment: control hosts and entry hosts in three zones.
type cluster struct {
	record                       *record
	folder, subnet               string
	peer, admin, front, ready, m int
	controls, entries            []*process
	// firstSeeds holds the seeds of the first start.
	firstSeeds []string
}

// newCluster returns a deployment that hasn't started.
func newCluster(r *record, controls, entries int) (*cluster, error) {
	f, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, folder: f, subnet: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200)}
	p, err := freePorts(c.subnet+".1", 5)
	if err != nil {
		return nil, err
	}
	c.peer, c.admin, c.front, c.ready, c.m = p[0], p[1], p[2], p[3], p[4]
	for k := range controls {
		c.controls = append(c.controls, &process{name: fmt.Sprintf("core-%d", k), ip: fmt.Sprintf("%s.%d", c.subnet, 1+k), zone: fmt.Sprintf("zone-%d", k%3), control: true, cluster: c})
	}
	c.firstSeeds = c.seeds()
	for k := range entries {
		c.entries = append(c.entries, &process{name: fmt.Sprintf("edge-%d", k), ip: fmt.Sprintf("%s.%d", c.subnet, 20+k), zone: fmt.Sprintf("zone-%d", k%3), cluster: c})
	}
	return c, nil
}

// freePorts returns n ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var r []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() //nolint:errcheck // the port only has to be free
		r = append(r, l.Addr().(*net.TCPAddr).Port)
	}
	return r, nil
}

// seeds returns the control addresses of the first three control hosts.
func (c *cluster) seeds() []string {
	var r []string
	for _, p := range c.controls[:min(3, len(c.controls))] {
		r = append(r, p.adminAddress())
	}
	return r
}

func (p *process) adminAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.cluster.admin) }

func (p *process) frontAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.cluster.front) }

// settings returns what deploy/settings.json renders to.
func (p *process) settings(first bool) map[string]any {
	l := p.seeds
	if l == nil {
		l = p.cluster.firstSeeds
	}
	m := map[string]any{
		"part": "entry", "name": p.name, "data-centre": p.zone, "ip": p.ip, "caller-address": "", "ready-address": "", "admin-address": "",
		"peer-port": p.cluster.peer, "metrics-port": p.cluster.m, "seeds": l, "found": first, "data-folder": "", "memory-mb": 284, "descriptors": 4100,
		"bounds": map[string]any{
			"grace": "8s", "drain": "2000ms", "heartbeat": "1200ms", "session-gap": "5s", "retry-ratio": 0.9, "retry-window": "10s", "retry-slack": 58,
			"exposure-share": 0.15, "exposure-extra": 30,
		},
	}
	if p.control {
		m["part"], m["admin-address"], m["data-folder"] = "control", p.adminAddress(), filepath.Join(p.cluster.folder, p.name)
		return m
	}
	if p.tunnel != "" {
		m["endpoint-tunnel"] = p.tunnel
	}
	m["caller-address"], m["ready-address"] = p.frontAddress(), fmt.Sprintf("%s:%d", p.ip, p.cluster.ready)
	return m
}

// start starts the process with the command of the deploy file.
func (p *process) start(first bool) error {
	b, err := json.MarshalIndent(p.settings(first), "", "  ")
	if err != nil {
		return err
	}
	f := filepath.Join(p.cluster.folder, p.name+".json")
	if err := os.WriteFile(f, b, 0o600); err != nil {
		return err
	}
	l, err := os.OpenFile(filepath.Join(p.cluster.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer l.Close() //nolint:errcheck // the process has a copy
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = append(os.Environ(), "HICKORYSHELF_BOOT="+f)
	p.cmd.Stdout, p.cmd.Stderr = l, l
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.cluster.record.write("platform: starts %s", p.name)
	return nil
}

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	_ = p.cmd.Wait()                          // the error only says that it was killed
}

// terminate stops the process as planned and waits for its exit.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	_ = p.cmd.Wait()                          // how it exits doesn't matter
	p.cmd = nil
}

// startAll starts all processes for the first time.
func (c *cluster) startAll() error {
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills processes at the same moment.
func killAll(l []*process) {
	var g sync.WaitGroup
	for _, p := range l {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has ended
		p.cluster.record.write("platform: kills %s", p.name)
	}
	for _, p := range l {
		g.Go(p.kill)
	}
	g.Wait()
}

// close ends all processes that run and removes their files.
func (c *cluster) close() {
	for _, p := range append(append([]*process{}, c.controls...), c.entries...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only if it has ended
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder) // in the system's temporary folder
	}
}

// call sends a request of a server or an operator to control hosts in turn, from the k-th on, until one acknowledges it. It
// returns the host that did, and the answer.
func (c *cluster) call(k int, method, path string, body any) (*process, []byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	err = errors.New("no control host")
	for n := range c.controls {
		p := c.controls[(k+n)%len(c.controls)]
		var q *http.Request
		if q, err = http.NewRequest(method, "http://"+p.adminAddress()+path, bytes.NewReader(b)); err != nil {
			return nil, nil, err
		}
		q.Header.Set("Content-Type", "application/json")
		var a *http.Response
		if a, err = h.Do(q); err != nil {
			continue
		}
		v, e := io.ReadAll(a.Body)
		_ = a.Body.Close() // read to its end
		if err = e; err == nil && a.StatusCode == http.StatusOK {
			return p, v, nil
		}
		if err == nil {
			err = fmt.Errorf("%s answered %d: %s", p.name, a.StatusCode, bytes.TrimSpace(v))
		}
	}
	return nil, nil, err
}

// eventually repeats f until it succeeds, for a time.
func eventually(limit time.Duration, f func() error) error {
	b := time.Now()
	for {
		err := f()
		if err == nil || time.Since(b) > limit {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitReady waits until all entry hosts say that they are ready.
func (c *cluster) awaitReady() error {
	h := http.Client{Timeout: 300 * time.Millisecond}
	return eventually(15*time.Second, func() error {
		for _, p := range c.entries {
			a, err := h.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, c.ready))
			if err != nil {
				return err
			}
			_ = a.Body.Close() // it has no content
			if a.StatusCode != http.StatusOK {
				return fmt.Errorf("%s isn't ready", p.name)
			}
		}
		return nil
	})
}
