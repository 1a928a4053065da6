package itest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// stopTime bounds the time in which the threads of a process stop after the signal.
const stopTime = 5 * time.Second

// Suspend stops a process and returns once none of its threads runs: after the signal was sent, those on other processors go on for a moment.
func (d *Deployment) Suspend(p *Process) {
	d.t.Helper()
	d.Signal(p, syscall.SIGSTOP)
	Eventually(d.t, stopTime, func() error { return checkStopped(p.cmd.Load().Process.Pid) })
}

// checkStopped returns an error if a thread of a process isn't stopped.
func checkStopped(pid int) error {
	l, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(l) == 0 {
		return fmt.Errorf("process %d has no threads: %w", pid, os.ErrProcessDone)
	}
	for _, f := range l {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		// The state follows the name, which is in parentheses and may hold any character.
		if k := bytes.LastIndexByte(b, ')'); k < 0 || !bytes.HasPrefix(b[k+1:], []byte(" T")) {
			return fmt.Errorf("a thread of process %d runs", pid)
		}
	}
	return nil
}
