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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a process on its own loopback address.
const (
	peerPort    = 7340
	metricsPort = 7341
	controlPort = 8229
	frontPort   = 8227
	readyPort   = 8220
)

const (
	controlCount = 3
	edgeCount    = 3
	// serverOctet is the last byte of the first server's address.
	serverOctet = 100
	// startTime bounds the wait for a deployment that starts.
	startTime = 20 * time.Second
)

// process is one process of the deployment.
type process struct {
	name    string
	ip      string
	zone    string
	control bool
	command *exec.Cmd
}

// deployment is three control hosts and three entry hosts on loopback addresses, with the settings of a small deployment.
type deployment struct {
	record   *record
	folder   string
	program  string
	subnet   string
	controls []*process
	edges    []*process
	// lock guards the commands of processes and servers.
	lock    sync.Mutex
	servers []*server
	used    int
	ended   bool
}

// newDeployment returns a deployment whose processes don't run yet.
func newDeployment(r *record) (*deployment, error) {
	b, err := filepath.Abs("target/hickoryshelf")
	if err == nil {
		_, err = os.Stat(b)
	}
	if err != nil {
		return nil, fmt.Errorf("%w; build the program first, and start this in the repository", err)
	}
	f, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: f, program: b}
	if d.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	for k := range controlCount {
		d.controls = append(d.controls, &process{name: fmt.Sprint("core-", k+1), ip: fmt.Sprintf("%s.%d", d.subnet, k+1), zone: zoneOf(k), control: true})
	}
	for k := range edgeCount {
		d.edges = append(d.edges, &process{name: fmt.Sprint("edge-", k+1), ip: fmt.Sprintf("%s.%d", d.subnet, k+11), zone: zoneOf(k)})
	}
	return d, nil
}

// zoneOf returns the name of the n-th zone.
func zoneOf(n int) string { return []string{"bern-halle", "olten-halle", "aarau-halle"}[n%3] }

// freeSubnet returns the first three bytes of loopback addresses on which nothing listens.
func freeSubnet() (string, error) {
	for k := range 200 {
		s := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+k)%200, 1+k)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s, controlPort))
		if err == nil {
			return s, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// settings returns what deploy/settings.json renders to for a process.
func (d *deployment) settings(p *process, bootstrap bool) map[string]any {
	var s []string
	for _, c := range d.controls {
		s = append(s, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	m := map[string]any{
		"part": "entry", "name": p.name, "data-centre": p.zone, "ip": p.ip, "caller-address": "", "ready-address": "", "admin-address": "",
		"peer-port": peerPort, "metrics-port": metricsPort, "seeds": s, "found": bootstrap, "data-folder": "", "memory-mb": 284, "descriptors": 4100,
		"bounds": map[string]any{
			"grace": "8s", "drain": "2000ms", "heartbeat": "1200ms", "session-gap": "5s", "retry-ratio": 0.9, "retry-window": "10s", "retry-slack": 58,
			"exposure-share": 0.15, "exposure-extra": 30, "configuration-apply": "2000ms",
		},
	}
	if p.control {
		m["part"], m["admin-address"], m["data-folder"] = "control", fmt.Sprintf("%s:%d", p.ip, controlPort), filepath.Join(d.folder, p.name)
		m["memory-mb"], m["descriptors"] = 280, 4096
		return m
	}
	m["caller-address"], m["ready-address"] = fmt.Sprintf("%s:%d", p.ip, frontPort), fmt.Sprintf("%s:%d", p.ip, readyPort)
	return m
}

// start starts a process.
func (d *deployment) start(p *process, bootstrap bool) error {
	b, err := json.Marshal(d.settings(p, bootstrap))
	if err != nil {
		return err
	}
	f := filepath.Join(d.folder, p.name+".json")
	if err := os.WriteFile(f, b, 0o600); err != nil {
		return err
	}
	l, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer l.Close() //nolint:errcheck // the process has its own descriptor
	c := exec.Command(d.program, "serve", "--settings", f)
	c.Stdout, c.Stderr = l, l
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.ended {
		return errors.New("the play has ended")
	}
	p.command = c
	return c.Start()
}

// startAll starts all processes.
func (d *deployment) startAll(bootstrap bool) error {
	for _, p := range d.all() {
		if err := d.start(p, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

// all returns all processes.
func (d *deployment) all() []*process {
	return append(append([]*process{}, d.controls...), d.edges...)
}

// signal sends a signal to a process.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if p.command != nil && p.command.Process != nil && p.command.ProcessState == nil {
		_ = p.command.Process.Signal(s) // fails only if the process has ended
	}
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(p *process) {
	d.signal(p, syscall.SIGKILL)
	_ = p.command.Wait() // the error only says that the process was killed
}

// freeze stops a process for a time.
func (d *deployment) freeze(p *process, length time.Duration) {
	d.record.note("%s freezes for %v", p.name, length)
	d.signal(p, syscall.SIGSTOP)
	f := thaw{d, p, length}
	go f.run()
}

// thaw lets a frozen process go on after a time.
type thaw struct {
	deployment *deployment
	process    *process
	after      time.Duration
}

func (t thaw) run() {
	time.Sleep(t.after)
	t.deployment.signal(t.process, syscall.SIGCONT)
	t.deployment.record.note("%s wakes", t.process.name)
}

// stop ends all processes and servers and removes the folder.
func (d *deployment) stop() {
	d.lock.Lock()
	o := d.ended
	d.ended = true
	l := d.servers
	d.lock.Unlock()
	if o {
		return
	}
	for _, p := range d.all() {
		if p.command != nil && p.command.Process != nil {
			d.signal(p, syscall.SIGKILL) // ends a stopped process too
			_ = p.command.Wait()         // the error only says that the process was killed
		}
	}
	for _, s := range l {
		s.crash()
	}
	if k := os.Getenv("KEEP_LOGS"); k != "" {
		_ = os.CopyFS(k, os.DirFS(d.folder)) // only for people
	}
	_ = os.RemoveAll(d.folder) // what is left lies in the temporary folder
}

// call sends an operator's or a server's call to a control host, with a time to answer.
func (d *deployment) call(p *process, method, path string, body any, timeout time.Duration) (int, []byte, error) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, controlPort, path), bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close() //nolint:errcheck // the body is read to its end
	r, err := io.ReadAll(a.Body)
	return a.StatusCode, r, err
}

// metric returns the value of a metric of a process, or an empty text.
func (d *deployment) metric(p *process, name string) string {
	c := http.Client{Timeout: 300 * time.Millisecond}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/", p.ip, metricsPort))
	if err != nil {
		return ""
	}
	defer a.Body.Close() //nolint:errcheck // the body is read to its end
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return ""
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// followers returns the control hosts that don't lead.
func (d *deployment) followers() []*process {
	var r []*process
	for _, p := range d.controls {
		if d.metric(p, "control_leads") == "0" {
			r = append(r, p)
		}
	}
	return r
}

// ready reports whether an entry host answers its readiness check.
func (d *deployment) ready(p *process) bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close() // the body isn't read
	return a.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(what string, limit time.Duration, condition func() bool) error {
	for b := time.Now(); !condition(); time.Sleep(30 * time.Millisecond) {
		if time.Since(b) > limit {
			return fmt.Errorf("waited for %v: %s", limit, what)
		}
	}
	return nil
}
