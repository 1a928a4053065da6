// Package trace reconstructs one request from the log lines of several hosts: the routing decisions and attempts
// in order of time, and the configuration and connectivity that each host knew at that time.
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

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// timeFormat is the format of the "time" field of a log line: the time of day without a date.
const timeFormat = "15:04:05.000"

// Line is one parsed log line. Fields holds all JSON fields except "time", "host", "msg" and "level".
type Line struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Report describes the course and the outcome of one request.
type Report struct {
	ID string `json:"id"`
	// Lines are the log lines that carry the request's id, in order of time.
	Lines []Line `json:"lines"`
	// HostState holds, for each host that logged the request and for each message of hostStateMessages, the last
	// such line up to the host's last line about the request. Lines from before the host's last start are left out.
	HostState []Line `json:"beliefs"`
	// Cause explains the final outcome in one sentence.
	Cause string `json:"cause"`
}

// hostStartMessage is logged when a host starts. A started host has lost the state that earlier lines describe.
const hostStartMessage = "host: starts"

// hostStateMessages lists the messages that report a change of the state on which a host bases its routing
// decisions.
var hostStateMessages = []string{
	"entry: configuration in force", "entry: endpoints changed", "entry: dependency lost, the control host doesn't answer",
	"entry: dependency regained, a control host answers", hostStartMessage, "host: planned stop begins",
}

// Read parses the lines of a log. It ignores text before the JSON object of a line and skips lines without a JSON
// object or without a valid time. It fails where reading fails or a line exceeds maxLineBytes.
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
		return nil, fmt.Errorf("read log lines: %w; pass a log file of a host", err)
	}
	return l, nil
}

// parseLine parses the JSON object in a line of text. The result is false where the line holds no JSON object or
// no valid time.
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

// stringField returns the named field if it is a string, otherwise an empty string.
func stringField(f map[string]any, name string) string {
	v, _ := f[name].(string)
	return v
}

// numberField returns the named field if it is a number, otherwise 0.
func (l Line) numberField(name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

// Explain builds the report of the request with the given id from the log lines of all hosts, in any order.
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
	r.Cause = explain(r.Lines, lines)
	return r
}

// relayPrefix begins the messages of a host that sends a request for another one. Such a line may be later than the last
// one of the host that the caller chose.
const relayPrefix = "relay:"

// explain returns the cause of the outcome of a request. own holds its lines, and all those of all hosts.
func explain(own, all []Line) string {
	o := slices.DeleteFunc(slices.Clone(own), func(l Line) bool { return strings.HasPrefix(l.Message, relayPrefix) })
	switch {
	case len(own) > 0 && len(o) == 0:
		return "sent for another host, whose log wasn't given: " + own[len(own)-1].Message
	case len(o) > 0 && !strings.HasPrefix(o[len(o)-1].Message, "request:"):
		return explainMissingEnd(o, all)
	}
	return explainOutcome(o)
}

// explainMissingEnd returns the cause of a request without a final line: its host restarted, or the log ends while
// the request was in flight. own holds the lines of the request and isn't empty.
func explainMissingEnd(own, all []Line) string {
	e := own[len(own)-1]
	for _, l := range all {
		if l.Host == e.Host && l.Message == hostStartMessage && l.Time.After(e.Time) {
			return fmt.Sprintf("lost with its host, which started again at %s: %s", l.Time.Format(timeFormat), describeAttempts(own))
		}
	}
	return "its end isn't logged, it was under way when the log ends: " + describeAttempts(own)
}

// explainOutcome returns one sentence about the outcome in the last line of a request.
func explainOutcome(lines []Line) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no host whose log was given, or its lines were left out under load"
	}
	l := lines[len(lines)-1]
	o := stringField(l.Fields, "outcome")
	switch o {
	case "served":
		return fmt.Sprintf("served by %v%s after %.0f runs", l.Fields["endpoint"], describeHelper(l), l.numberField("runs"))
	case "overloaded":
		if _, ok := l.Fields["candidates"]; !ok {
			return fmt.Sprintf("refused, not run: no endpoint took another request, and %.0f ms were left", l.numberField("left"))
		}
		return fmt.Sprintf("refused, not run: the best of %.0f endpoints would have begun to answer in %.0f ms, and %.0f ms were left",
			l.numberField("candidates"), l.numberField("estimate"), l.numberField("left"))
	case "broken-off":
		return explainBroken(lines)
	case "answer-lost":
		return fmt.Sprintf("may have run, its answer is lost: %s; no further run: %s", describeAttempts(lines), explainNoRetry(l))
	case "timed-out":
		return fmt.Sprintf("may have run, no answer within its time: %s", describeAttempts(lines))
	case "failure-passed-on":
		return fmt.Sprintf("the failure of the last endpoint was passed on: %s; no further run: %s", describeAttempts(lines), explainNoRetry(l))
	case "caller-left":
		return explainLeft(lines)
	case "stopped":
		return "not answered, its host stopped: " + describeAttempts(lines)
	case "connection-closing":
		return "not run: it came on an idle connection that its host was closing"
	case "body-unread":
		return fmt.Sprintf("not run: its body could not be read (%s)", stringField(l.Fields, "error"))
	case "":
		return l.Message
	}
	return fmt.Sprintf("refused, %s: %s", o, describeAttempts(lines))
}

// recentChange is the age in ms below which the configuration in force at the end of an answer is named.
const recentChange = 5000

// explainBroken returns the cause of an answer that an endpoint or its host broke off. Hosts of earlier builds don't say which.
func explainBroken(lines []Line) string {
	l := lines[len(lines)-1]
	w := "broken off" + describeLastEvent(l)
	switch stringField(l.Fields, "ended-by") {
	case "endpoint":
		w += " by the endpoint"
	case "host":
		w += fmt.Sprintf(" by this host (%s)", stringField(l.Fields, "why"))
	}
	w += ": " + describeAttempts(lines)
	if stringField(l.Fields, "why") != "stop" {
		w += "; no further run: " + explainNoRetry(l)
	}
	return w + describeChange(l)
}

// explainLeft returns the cause of a request whose caller left.
func explainLeft(lines []Line) string {
	l := lines[len(lines)-1]
	w := "the caller left" + describeLastEvent(l) + describeWhy(l) + " while " + describeLastWait(l)
	if r := failedAttempts(lines); len(r) > 0 {
		w += "; before: " + strings.Join(r, ", then ")
	}
	return w + describeChange(l)
}

// describeLastEvent names the last event that the caller has, or returns an empty text if there is none.
func describeLastEvent(l Line) string {
	if e := stringField(l.Fields, "last-event"); e != "" {
		return " behind event " + e
	}
	return ""
}

// describeWhy returns why a caller left, and the error that came with it, in brackets, or an empty text.
func describeWhy(l Line) string {
	w := stringField(l.Fields, "why")
	if w == "" {
		return ""
	}
	if e := stringField(l.Fields, "error"); e != "" {
		w += ": " + e
	}
	return " (" + w + ")"
}

// describeChange names the configuration that had just come into force, or returns an empty text.
func describeChange(l Line) string {
	a, ok := l.Fields["current-table-age"].(float64)
	if !ok || a > recentChange {
		return ""
	}
	return fmt.Sprintf("; configuration %.0f had been in force for %.0f ms", l.numberField("current-table"), a)
}

// explainNoRetry returns why no further attempt followed the end that line l reports.
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

// describeLastWait names the endpoint that a request was waiting for when it ended, and how long it had waited.
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

// describeAttempts lists the ended attempts of a request and their causes. Without an ended attempt it describes the
// wait at the request's end.
func describeAttempts(lines []Line) string {
	r := failedAttempts(lines)
	if len(r) == 0 {
		return describeLastWait(lines[len(lines)-1])
	}
	return strings.Join(r, ", then ")
}

// failedAttempts returns the endpoint, duration and cause of each attempt that ended without serving the request.
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
		r = append(r, fmt.Sprintf("%v%s after %.0f ms (%s)", l.Fields["endpoint"], describeHelper(l), l.numberField("took"), w))
	}
	return r
}

// describeHelper names the host through which the attempt of a line went, or returns an empty text if it went directly.
func describeHelper(l Line) string {
	if h := stringField(l.Fields, "relayed-by"); h != "" {
		return " through " + h
	}
	return ""
}

// Write writes the report to w as text for a terminal.
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

// formatFields formats the fields of a line as " key=value", sorted by key, without "id" and empty fields.
func formatFields(l Line) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := fmt.Sprint(l.Fields[k]); k != "id" && v != "" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}
