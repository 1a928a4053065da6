package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMillis and significantDigits bound the histograms of a summary.
	maxMillis         = 10 * 60 * 1000
	significantDigits = 2
	// summaryInterval is the length of the intervals of time in a summary.
	summaryInterval = 2 * time.Second
)

// Messages of the lines that a summary counts.
const (
	servedMessage    = "request: served"
	escalatedMessage = "attempt: dropped for a larger model"
)

// Row sums up the requests of one group. Times are in milliseconds.
type Row struct {
	Group string `json:"group"`
	// Requests counts the ended requests, Served those with a complete answer and Late those of them whose answer
	// missed an objective of its route.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Late     int `json:"late"`
	// Refused and Failed count the requests that ended without an answer, by whether the host says that they haven't
	// run. CallerLeft counts those whose caller disconnected.
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	CallerLeft int `json:"caller-left"`
	// Runs is the number of runs for each served request, and Escalated the number of answers that were dropped for a
	// larger model.
	Runs      float64 `json:"runs"`
	Escalated int     `json:"escalated"`
	// First and FirstP99 are the median and the 99th percentile of the time to the first event, or to the whole answer if
	// it is no stream. GapP99 is the 99th percentile of the longest gap between events.
	First    int64 `json:"first"`
	FirstP99 int64 `json:"first-p99"`
	GapP99   int64 `json:"gap-p99"`
	// EstimateRatio is the median of the measured wait at the endpoint divided by its estimate, in percent. Queue is the
	// median of the queue at the endpoints when the model was chosen.
	EstimateRatio int64 `json:"estimate-ratio"`
	Queue         int64 `json:"queue"`
}

// Table is a grouping of all requests in the logs.
type Table struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
}

// Summary holds what the logs of several hosts say about all of their requests.
type Summary struct {
	Tables []Table `json:"tables"`
	// Causes counts the failed attempts by their cause, most frequent first.
	Causes []Cause `json:"causes"`
}

// Cause is a cause of failed attempts.
type Cause struct {
	Text     string `json:"cause"`
	Attempts int    `json:"attempts"`
}

// group collects the requests of one row.
type group struct {
	row                       Row
	runs                      float64
	first, gap, ratio, queues *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, significantDigits) }
	return &group{row: Row{Group: name}, first: h(), gap: h(), ratio: h(), queues: h()}
}

// record adds a value to a histogram. Values outside its range count as its limits.
func record(h *hdrhistogram.Histogram, v float64) {
	_ = h.RecordValue(max(1, min(maxMillis, int64(v)))) // the value is within the range
}

// add adds the last line of a request.
func (g *group) add(l Line) {
	g.row.Requests++
	switch o := stringField(l.Fields, "outcome"); o {
	case "served":
		g.addServed(l)
	case "caller-left":
		g.row.CallerLeft++
	case "broken-off", "answer-lost", "timed-out", "failure-passed-on", "stopped":
		g.row.Failed++
	default:
		g.row.Refused++
	}
}

// addServed adds the last line of a served request.
func (g *group) addServed(l Line) {
	g.row.Served++
	g.runs += l.numberField("runs")
	if v, _ := l.Fields["late"].(bool); v {
		g.row.Late++
	}
	f := l.numberField("first")
	if f == 0 {
		f = l.numberField("age")
	}
	record(g.first, f)
	record(g.gap, l.numberField("pause"))
	if e := l.numberField("estimate"); e > 0 {
		record(g.ratio, 100*l.numberField("wait")/e)
	}
	record(g.queues, l.numberField("queue"))
}

// result returns the row of the group.
func (g *group) result() Row {
	r := g.row
	r.Runs = g.runs / max(1, float64(r.Served))
	r.First, r.FirstP99 = g.first.ValueAtQuantile(50), g.first.ValueAtQuantile(99)
	r.GapP99 = g.gap.ValueAtQuantile(99)
	r.EstimateRatio, r.Queue = g.ratio.ValueAtQuantile(50), g.queues.ValueAtQuantile(50)
	return r
}

// groupings are the tables of a summary: the name of each and the group that a line belongs to.
var groupings = []struct {
	name string
	of   func(l Line, centres map[string]string) string
}{
	{"route", func(l Line, _ map[string]string) string { return stringField(l.Fields, "route") }},
	{"model", func(l Line, _ map[string]string) string { return stringField(l.Fields, "model") }},
	{"data centre", func(l Line, c map[string]string) string { return c[l.Host] }},
	{"time", func(l Line, _ map[string]string) string { return l.Time.Truncate(summaryInterval).Format(timeFormat) }},
}

// Summarize sums up the requests in the log lines of hosts, which may be in any order.
func Summarize(lines []Line) Summary {
	centres := map[string]string{}
	for _, l := range lines {
		if l.Message == hostStartMessage {
			centres[l.Host] = stringField(l.Fields, "data-centre")
		}
	}
	var s Summary
	for _, k := range groupings {
		s.Tables = append(s.Tables, Table{Name: k.name, Rows: rows(lines, func(l Line) string { return k.of(l, centres) })})
	}
	s.Causes = causes(lines)
	return s
}

// rows groups the requests by what of returns for their lines, in the order of the groups' names.
func rows(lines []Line, of func(Line) string) []Row {
	g := map[string]*group{}
	for _, l := range lines {
		e := l.Message == escalatedMessage
		if !e && !strings.HasPrefix(l.Message, "request:") {
			continue
		}
		n := of(l)
		if g[n] == nil {
			g[n] = newGroup(n)
		}
		if e {
			g[n].row.Escalated++
			continue
		}
		g[n].add(l)
	}
	var r []Row
	for _, n := range slices.Sorted(maps.Keys(g)) {
		r = append(r, g[n].result())
	}
	return r
}

// causes counts the failed attempts by their cause. Addresses and ports are left out of the texts.
func causes(lines []Line) []Cause {
	n := map[string]int{}
	for _, l := range lines {
		if !strings.HasPrefix(l.Message, "attempt:") || l.Message == escalatedMessage {
			continue
		}
		c := cmp.Or(stringField(l.Fields, "cause"), stringField(l.Fields, "error"))
		w := strings.FieldsFunc(c, func(r rune) bool { return r == ' ' })
		w = slices.DeleteFunc(w, func(s string) bool { return strings.ContainsAny(s, "0123456789") })
		n[strings.TrimPrefix(l.Message, "attempt: ")+": "+strings.Join(w, " ")]++
	}
	var r []Cause
	for t, k := range n {
		r = append(r, Cause{t, k})
	}
	slices.SortFunc(r, func(a, b Cause) int { return cmp.Or(cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Text, b.Text)) })
	return r
}

// Write writes the summary to w as text for a terminal.
func (s Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, b := range s.Tables {
		_, _ = fmt.Fprintf(t, "%s\trequests\tserved\tlate\trefused\tfailed\tleft\truns\tescalated\tfirst ms\tp99\tgap p99\twait/estimate %%\tqueue ms\t\n", b.Name)
		for _, r := range b.Rows {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t\n", cmp.Or(r.Group, "-"), r.Requests, r.Served, r.Late,
				r.Refused, r.Failed, r.CallerLeft, r.Runs, r.Escalated, r.First, r.FirstP99, r.GapP99, r.EstimateRatio, r.Queue)
		}
		_, _ = fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range s.Causes {
		if _, err := fmt.Fprintf(w, "%6d  %s\n", c.Attempts, c.Text); err != nil {
			return err
		}
	}
	return nil
}
