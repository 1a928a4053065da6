package itest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// Usage is what a process takes of the machine.
type Usage struct {
	// PeakMB is the largest resident memory since the start, in units of 1<<20 bytes, rounded up.
	PeakMB int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// UsageOf returns what the latest process of p takes. It returns an error if the process has ended. It works on Linux only.
func (d *Deployment) UsageOf(p *Process) (Usage, error) {
	n := p.cmd.Load().Process.Pid
	if err := syscall.Kill(n, 0); err != nil {
		return Usage{}, fmt.Errorf("%s doesn't run: %w", p.Name, err)
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n))
	if err != nil {
		return Usage{}, err
	}
	var u Usage
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		v, ok := strings.CutPrefix(s.Text(), "VmHWM:")
		if !ok {
			continue
		}
		if _, err := fmt.Sscan(v, &u.PeakMB); err != nil {
			return u, err
		}
		u.PeakMB = (u.PeakMB + 1<<10 - 1) >> 10 // the file counts in units of 1<<10 bytes
	}
	if u.PeakMB == 0 {
		return u, errors.Join(errNoUsage, syscall.Kill(n, 0)) // a process that has ended and wasn't waited for has none
	}
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n))
	u.Descriptors = len(l)
	return u, err
}

// errNoUsage means that the system reports no resident memory for a process.
var errNoUsage = errors.New("the process has no resident memory; it has ended")
