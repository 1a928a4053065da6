package itest

import (
	"fmt"
	"slices"
)

// replacementOctet is the last byte of the IP of the first control host that replaces another one.
const replacementOctet = 60

// Controls returns the control hosts in force. It may run beside ReplaceControl.
func (d *Deployment) Controls() []*Process {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Clone(d.Control)
}

// ReplaceControl starts a control host at a new address with an empty disk, in the data centre of another one, and puts it in the place of
// that. The other one goes on to run, but is no seed of processes that start later. It returns the new one.
func (d *Deployment) ReplaceControl(p *Process) *Process {
	d.t.Helper()
	d.lock.Lock()
	k := len(d.former)
	n := d.newProcess(fmt.Sprint("replacement", k), replacementOctet+k, 0, true)
	n.DataCentre, n.Binary = p.DataCentre, p.Binary
	d.former = append(d.former, p)
	d.Control = slices.Clone(d.Control)
	d.Control[slices.Index(d.Control, p)] = n
	d.lock.Unlock()
	d.Start(n)
	return n
}

// processes returns all processes, those of control hosts that were replaced among them.
func (d *Deployment) processes() []*Process {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Concat(d.Control, d.former, d.Entry)
}
