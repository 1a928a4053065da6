package itest

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
)

// settings returns the settings file of p as a map with the same keys as the template of a deployment.
func (d *Deployment) settings(p *Process) map[string]any {
	var s []string
	for _, c := range d.Controls() {
		s = append(s, fmt.Sprintf("%s:%d", c.IP, adminPort))
	}
	m := map[string]any{
		"part": "entry", "name": p.Name, "data-centre": p.DataCentre, "ip": p.IP, "peer-port": peerPort, "metrics-port": metricsPort,
		"seeds": s, "found": p.bootstrap, "memory-mb": d.MemoryMB, "descriptors": d.Descriptors, "caller-address": "", "ready-address": "", "admin-address": "", "data-folder": "",
		"bounds": map[string]any{
			"grace": d.Grace.String(), "drain": "2s", "heartbeat": "400ms", "session-gap": "5s", "retry-ratio": 0.9, "retry-window": "10s", "retry-slack": 58, "exposure-share": 0.15,
		},
	}
	if d.CentreDrain > 0 {
		z := map[string]any{}
		for k := range centreCount {
			z[fmt.Sprint("centre", k)] = "region"
		}
		m["data-centres"] = z
		m["bounds"].(map[string]any)["centre-drain"] = d.CentreDrain.String()
	}
	maps.Copy(m["bounds"].(map[string]any), d.bounds)
	if d.decisions != nil {
		m["decisions"] = d.decisions
	}
	if p.Control {
		m["part"], m["admin-address"], m["data-folder"] = "control", fmt.Sprintf("%s:%d", p.IP, adminPort), filepath.Join(d.folder, p.Name)
		m["peer-listen-port"] = peerListenPort
		return m
	}
	m["caller-address"], m["ready-address"] = fmt.Sprintf("%s:%d", p.IP, callerPort), fmt.Sprintf("%s:%d", p.IP, readyPort)
	if p.Tunnel != nil {
		m["endpoint-tunnel"] = p.Tunnel.IP
	}
	return m
}

// WriteSettings writes the settings of p as they are now, and returns the path of the file.
func (d *Deployment) WriteSettings(p *Process) string {
	d.t.Helper()
	b, err := json.Marshal(d.settings(p))
	if err != nil {
		d.t.Fatal(err)
	}
	f := d.settingsPath(p)
	if err := errors.Join(os.WriteFile(f+".new", b, 0o600), os.Rename(f+".new", f)); err != nil {
		d.t.Fatal(err)
	}
	return f
}

// settingsPath returns the path of the settings file of p.
func (d *Deployment) settingsPath(p *Process) string { return filepath.Join(d.folder, p.Name+".json") }
