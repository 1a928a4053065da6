package poison

import (
	"maps"
	"slices"
	"time"
)

// Report carries evidence between hosts, whose clocks have different origins.
type Report struct {
	Ends  []EndReport  `json:"ends,omitempty"`
	Cases []CaseReport `json:"cases,omitempty"`
	// Served counts what hosts have served while keys are suspected.
	Served []ServedReport `json:"served,omitempty"`
}

// ServedReport counts requests of a service at a host since it knew of suspected keys.
type ServedReport struct {
	Source  Source `json:"source"`
	Service string `json:"service"`
	// Key is the hash of a suspected key, or 0 for all requests.
	Key uint64 `json:"key,omitempty"`
	// Age is the time since the report was made.
	Age time.Duration `json:"age,omitempty"`
	// Counts holds the number of requests that were served or answered for longer than each of the ages of suspects. For all requests it
	// counts those that were served.
	Counts Survivors `json:"counts"`
}

// Source identifies a time in which a host counts what it serves, without a gap.
type Source struct {
	// Host is a random identity of this start of the host, and Period the number of the time.
	Host   string `json:"host"`
	Period uint64 `json:"period"`
}

// EndReport is an End in a Report.
type EndReport struct {
	Boot    Boot   `json:"boot"`
	Service string `json:"service"`
	// Age is the time since the end.
	Age time.Duration `json:"age"`
}

// CaseReport is a Case in a Report.
type CaseReport struct {
	Key     Key           `json:"key"`
	Crashes []CrashReport `json:"crashes"`
	Beside  []Key         `json:"beside"`
	Verdict int           `json:"verdict"`
	Lifted  int           `json:"lifted"`
	// Idle is the time since AskedAt.
	Idle time.Duration `json:"idle"`
	// ServedAge is the time since ServedAt, if Served is set.
	Served    bool          `json:"served,omitempty"`
	ServedAge time.Duration `json:"served-age,omitempty"`
}

// CrashReport is a Crash in a Report.
type CrashReport struct {
	Boot Boot `json:"boot"`
	Crash
}

// Empty reports whether the report says nothing.
func (r Report) Empty() bool { return len(r.Ends) == 0 && len(r.Cases) == 0 && len(r.Served) == 0 }

// Plus returns what two reports say together.
func (r Report) Plus(o Report) Report {
	return Report{Ends: slices.Concat(r.Ends, o.Ends), Cases: slices.Concat(r.Cases, o.Cases), Served: slices.Concat(r.Served, o.Served)}
}

// Collect returns what reports that arrived one after the other say together at now.
func Collect(l []Arrival, now time.Duration) Report {
	if len(l) == 1 {
		return l[0].Report.WithAge(now - l[0].At)
	}
	var r Report
	for _, a := range l {
		r = r.Plus(a.Report.WithAge(now - a.At))
	}
	return r
}

// WithAge returns the report as it reads some time later.
func (r Report) WithAge(d time.Duration) Report {
	if d == 0 || r.Empty() {
		return r
	}
	r.Ends, r.Cases, r.Served = slices.Clone(r.Ends), slices.Clone(r.Cases), slices.Clone(r.Served)
	for n := range r.Served {
		r.Served[n].Age += d
	}
	for n := range r.Ends {
		r.Ends[n].Age += d
	}
	for n := range r.Cases {
		r.Cases[n].Idle += d
		r.Cases[n].ServedAge += d
	}
	return r
}

// report returns a case as a report of it.
func (c Case) report(k Key, now time.Duration) CaseReport {
	r := CaseReport{Key: k, Beside: c.Beside, Verdict: c.Verdict, Lifted: c.Lifted, Idle: now - c.AskedAt, Served: c.Served}
	if c.Served {
		r.ServedAge = now - c.ServedAt
	}
	for _, b := range slices.SortedFunc(maps.Keys(c.Crashes), Boot.compare) {
		r.Crashes = append(r.Crashes, CrashReport{b, c.Crashes[b]})
	}
	return r
}

// decode returns the case of a report that arrived at now.
func (r CaseReport) decode(now time.Duration) Case {
	c := Case{Crashes: make(map[Boot]Crash, len(r.Crashes)), Beside: r.Beside, Verdict: r.Verdict, Lifted: r.Lifted, AskedAt: now - r.Idle, Served: r.Served, ServedAt: now - r.ServedAge}
	for _, v := range r.Crashes {
		c.Crashes[v.Boot] = v.Crash
	}
	return c
}
