// Package trace reconstructs what became of one request from the log lines of several hosts: its decisions in
// order, and what the hosts believed when they took them.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// timeFormat is that of the lines' time field.
const timeFormat = "15:04:05.000"

// Line is one log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Report is what became of a request.
type Report struct {
	ID string `json:"id"`
	// Lines are those of the request, in order.
	Lines []Line `json:"lines"`
	// HostState are the newest lines before the request's end on each of its hosts that changed what the host
	// believes, one of each kind.
	HostState []Line `json:"beliefs"`
	// Cause is the reason of the final outcome, in a sentence.
	Cause string `json:"cause"`
}

// hostStartMessage is the message of a host's start: what it believed before is forgotten.
const hostStartMessage = "host: starts"

// hostStateMessages are the messages of lines that change what a host believes.
var hostStateMessages = []string{
	"entry: configuration in force", "entry: endpoints changed", "entry: dependency lost, the control host doesn't answer",
	"entry: dependency regained, a control host answers", hostStartMessage, "host: planned stop begins",
}

// Read returns the lines of a log. Text before a line's JSON document is passed over, and so are lines that
// hold none.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var l []Line
	for s.Scan() {
		if v, ok := parseLine(s.Text()); ok {
			l = append(l, v)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w; give a file of log lines", err)
	}
	return l, nil
}

func parseLine(text string) (Line, bool) {
	k := strings.IndexByte(text, '{')
	if k < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal([]byte(text[k:]), &f) != nil {
		return Line{}, false
	}
	t, err := time.Parse(timeFormat, stringField(f, "time"))
	if err != nil {
		return Line{}, false
	}
	v := Line{Time: t, Host: stringField(f, "host"), Message: stringField(f, "msg"), Fields: f}
	for _, n := range []string{"time", "host", "msg", "level"} {
		delete(f, n)
	}
	return v, true
}

func stringField(f map[string]any, name string) string {
	v, _ := f[name].(string)
	return v
}

// numberField returns a numeric field; 0 where it is missing.
func (l Line) numberField(name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

// Explain returns the story of a request.
func Explain(id string, lines []Line) Report {
	r := Report{ID: id}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	h := map[string]time.Time{}
	for _, l := range lines {
		if stringField(l.Fields, "id") == id {
			r.Lines = append(r.Lines, l)
			h[l.Host] = l.Time
		}
	}
	n := map[string]Line{}
	for _, l := range lines {
		if e, ok := h[l.Host]; ok && !l.Time.After(e) && slices.Contains(hostStateMessages, l.Message) {
			if l.Message == hostStartMessage {
				maps.DeleteFunc(n, func(_ string, o Line) bool { return o.Host == l.Host })
			}
			n[l.Host+"\x00"+l.Message] = l
		}
	}
	for _, k := range slices.Sorted(maps.Keys(n)) {
		r.HostState = append(r.HostState, n[k])
	}
	r.Cause = explainOutcome(r.Lines)
	if len(r.Lines) > 0 && !strings.HasPrefix(r.Lines[len(r.Lines)-1].Message, "request:") {
		r.Cause = explainMissingEnd(r.Lines, lines)
	}
	return r
}

// explainMissingEnd says why a request has no final line.
func explainMissingEnd(own, all []Line) string {
	e := own[len(own)-1]
	for _, l := range all {
		if l.Host == e.Host && l.Message == hostStartMessage && l.Time.After(e.Time) {
			return fmt.Sprintf("lost with its host, which started again at %s: %s", l.Time.Format(timeFormat), describeAttempts(own))
		}
	}
	return "its end isn't logged, it was under way when the log ends: " + describeAttempts(own)
}

// explainOutcome says in a sentence why a request ended as it did.
func explainOutcome(lines []Line) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no host whose log was given, or its lines were left out under load"
	}
	l := lines[len(lines)-1]
	o := stringField(l.Fields, "outcome")
	switch o {
	case "served":
		return fmt.Sprintf("served by %v after %.0f runs", l.Fields["endpoint"], l.numberField("runs"))
	case "overloaded":
		return fmt.Sprintf("refused, not run: the best of %.0f endpoints would have begun to answer in %.0f ms, and %.0f ms were left",
			l.numberField("candidates"), l.numberField("estimate"), l.numberField("left"))
	case "broken-off":
		return fmt.Sprintf("broken off behind event %v: %s; no further run: %s", l.Fields["last-event"], describeAttempts(lines), explainNoRetry(l))
	case "answer-lost":
		return fmt.Sprintf("may have run, its answer is lost: %s; no further run: %s", describeAttempts(lines), explainNoRetry(l))
	case "timed-out":
		return fmt.Sprintf("may have run, no answer within its time: %s", describeAttempts(lines))
	case "failure-passed-on":
		return fmt.Sprintf("the failure of the last endpoint was passed on: %s; no further run: %s", describeAttempts(lines), explainNoRetry(l))
	case "caller-left":
		w := "the caller left while " + describeLastWait(l)
		if r := failedAttempts(lines); len(r) > 0 {
			w += "; before: " + strings.Join(r, ", then ")
		}
		return w
	case "":
		return l.Message
	}
	return fmt.Sprintf("refused, %s: %s", o, describeAttempts(lines))
}

func explainNoRetry(l Line) string {
	if l.numberField("left") <= 0 {
		return "its time was over"
	}
	switch stringField(l.Fields, "spent") {
	case "attempts":
		return "it may run no more often"
	case "budget":
		return "the budget of repeats was spent"
	case "":
		return "no time or endpoint was left"
	}
	return stringField(l.Fields, "spent")
}

// describeLastWait names the endpoint at which a request was when it ended.
func describeLastWait(l Line) string {
	e := stringField(l.Fields, "endpoint")
	if e == "" {
		return "no endpoint was asked"
	}
	if a, _ := l.Fields["answering"].(bool); a {
		return fmt.Sprintf("%s was still answering after %.0f ms", e, l.numberField("waited"))
	}
	return fmt.Sprintf("%s had not answered for %.0f ms", e, l.numberField("waited"))
}

// describeAttempts says what went wrong at each endpoint.
func describeAttempts(lines []Line) string {
	r := failedAttempts(lines)
	if len(r) == 0 {
		return describeLastWait(lines[len(lines)-1])
	}
	return strings.Join(r, ", then ")
}

// failedAttempts says what went wrong at each endpoint that ended an attempt.
func failedAttempts(lines []Line) []string {
	var r []string
	for _, l := range lines {
		if !strings.HasPrefix(l.Message, "attempt:") {
			continue
		}
		w := stringField(l.Fields, "cause")
		if w == "" {
			w = stringField(l.Fields, "error")
		}
		if w == "" {
			w = strings.TrimPrefix(l.Message, "attempt: ")
		}
		r = append(r, fmt.Sprintf("%v after %.0f ms (%s)", l.Fields["endpoint"], l.numberField("took"), w))
	}
	return r
}

// Write prints a story for a terminal.
func (r Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", r.ID, r.Cause)
	for _, l := range r.Lines {
		fmt.Fprintf(&b, "  %s %s %s%s\n", l.Time.Format(timeFormat), l.Host, l.Message, formatFields(l))
	}
	if len(r.HostState) > 0 {
		b.WriteString("what its hosts believed:\n")
	}
	for _, l := range r.HostState {
		fmt.Fprintf(&b, "  %s %s %s%s\n", l.Time.Format(timeFormat), l.Host, l.Message, formatFields(l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func formatFields(l Line) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := fmt.Sprint(l.Fields[k]); k != "id" && v != "" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}
