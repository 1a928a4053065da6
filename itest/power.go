package itest

import (
	"regexp"
	"strconv"
	"syscall"
)

// syncMark is the payload of a sync mark in the log of a control host. It names the position up to which the log was synced.
var syncMark = regexp.MustCompile(`\{"crc":"[0-9a-f]{16}","synced":(\d+)\}`)

// LosePower ends all processes at once and takes what the control hosts hadn't synced from their logs: what follows the last position that
// a log says was synced, with the mark that says so.
func (d *Deployment) LosePower() {
	l := d.processes()
	for _, p := range l {
		d.Signal(p, syscall.SIGKILL)
	}
	for _, p := range l {
		_ = p.cmd.Load().Wait() // the error only says that the process was killed
	}
	for _, p := range d.Controls() {
		d.rewriteLog(p, syncedPart)
	}
}

// syncedPart returns what was synced of a log with content b, as far as its marks say.
func syncedPart(b []byte) []byte {
	n := 0
	for _, m := range syncMark.FindAllSubmatch(b, -1) {
		if v, err := strconv.Atoi(string(m[1])); err == nil {
			n = max(n, min(v, len(b)))
		}
	}
	return b[:n]
}
