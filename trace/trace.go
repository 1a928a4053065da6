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

// mostLineBytes bounds a log line.
const mostLineBytes = 1 << 20

// timeFormat is that of the lines' time field.
const timeFormat = "15:04:05.000"

// Line is one log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Story is what became of a request.
type Story struct {
	ID string `json:"id"`
	// Lines are those of the request, in order.
	Lines []Line `json:"lines"`
	// Beliefs are the newest lines before the request's end on each of its hosts that changed what the host
	// believes, one of each kind.
	Beliefs []Line `json:"beliefs"`
	// Cause is the reason of the final outcome, in a sentence.
	Cause string `json:"cause"`
}

// started is the message of a host's start: what it believed before is forgotten.
const started = "host: starts"

// beliefs are the messages of lines that change what a host believes.
var beliefs = []string{
	"entry: configuration in force", "entry: endpoints changed", "entry: dependency lost, the control host doesn't answer",
	"entry: dependency regained, a control host answers", started, "host: planned stop begins",
}

// Read returns the lines of a log. Text before a line's JSON document is passed over, and so are lines that
// hold none.
func Read(r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, mostLineBytes)
	var l []Line
	for s.Scan() {
		if v, ok := parse(s.Text()); ok {
			l = append(l, v)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w; give a file of log lines", err)
	}
	return l, nil
}

func parse(text string) (Line, bool) {
	k := strings.IndexByte(text, '{')
	if k < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal([]byte(text[k:]), &f) != nil {
		return Line{}, false
	}
	t, err := time.Parse(timeFormat, word(f, "time"))
	if err != nil {
		return Line{}, false
	}
	v := Line{Time: t, Host: word(f, "host"), Message: word(f, "msg"), Fields: f}
	for _, n := range []string{"time", "host", "msg", "level"} {
		delete(f, n)
	}
	return v, true
}

func word(f map[string]any, name string) string {
	v, _ := f[name].(string)
	return v
}

// number returns a numeric field; 0 where it is missing.
func (l Line) number(name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

// Of returns the story of a request.
func Of(id string, lines []Line) Story {
	s := Story{ID: id}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	h := map[string]time.Time{}
	for _, l := range lines {
		if word(l.Fields, "id") == id {
			s.Lines = append(s.Lines, l)
			h[l.Host] = l.Time
		}
	}
	n := map[string]Line{}
	for _, l := range lines {
		if e, ok := h[l.Host]; ok && !l.Time.After(e) && slices.Contains(beliefs, l.Message) {
			if l.Message == started {
				maps.DeleteFunc(n, func(_ string, o Line) bool { return o.Host == l.Host })
			}
			n[l.Host+"\x00"+l.Message] = l
		}
	}
	for _, k := range slices.Sorted(maps.Keys(n)) {
		s.Beliefs = append(s.Beliefs, n[k])
	}
	s.Cause = cause(s.Lines)
	if len(s.Lines) > 0 && !strings.HasPrefix(s.Lines[len(s.Lines)-1].Message, "request:") {
		s.Cause = unfinished(s.Lines, lines)
	}
	return s
}

// unfinished says why a request has no final line.
func unfinished(own, all []Line) string {
	e := own[len(own)-1]
	for _, l := range all {
		if l.Host == e.Host && l.Message == started && l.Time.After(e.Time) {
			return fmt.Sprintf("lost with its host, which started again at %s: %s", l.Time.Format(timeFormat), attempts(own))
		}
	}
	return "its end isn't logged, it was under way when the log ends: " + attempts(own)
}

// cause says in a sentence why a request ended as it did.
func cause(lines []Line) string {
	if len(lines) == 0 {
		return "no line names the request: it reached no host whose log was given, or its lines were left out under load"
	}
	l := lines[len(lines)-1]
	o := word(l.Fields, "outcome")
	switch o {
	case "served":
		return fmt.Sprintf("served by %v after %.0f runs", l.Fields["endpoint"], l.number("runs"))
	case "overloaded":
		return fmt.Sprintf("refused, not run: the best of %.0f endpoints would have begun to answer in %.0f ms, and %.0f ms were left",
			l.number("candidates"), l.number("estimate"), l.number("left"))
	case "broken-off":
		return fmt.Sprintf("broken off behind event %v: %s; no further run: %s", l.Fields["last-event"], attempts(lines), spent(l))
	case "answer-lost":
		return fmt.Sprintf("may have run, its answer is lost: %s; no further run: %s", attempts(lines), spent(l))
	case "timed-out":
		return fmt.Sprintf("may have run, no answer within its time: %s", attempts(lines))
	case "failure-passed-on":
		return fmt.Sprintf("the failure of the last endpoint was passed on: %s; no further run: %s", attempts(lines), spent(l))
	case "caller-left":
		w := "the caller left while " + pending(l)
		if r := tried(lines); len(r) > 0 {
			w += "; before: " + strings.Join(r, ", then ")
		}
		return w
	case "":
		return l.Message
	}
	return fmt.Sprintf("refused, %s: %s", o, attempts(lines))
}

func spent(l Line) string {
	if l.number("left") <= 0 {
		return "its time was over"
	}
	switch word(l.Fields, "spent") {
	case "attempts":
		return "it may run no more often"
	case "budget":
		return "the budget of repeats was spent"
	case "":
		return "no time or endpoint was left"
	}
	return word(l.Fields, "spent")
}

// pending names the endpoint at which a request was when it ended.
func pending(l Line) string {
	e := word(l.Fields, "endpoint")
	if e == "" {
		return "no endpoint was asked"
	}
	if a, _ := l.Fields["answering"].(bool); a {
		return fmt.Sprintf("%s was still answering after %.0f ms", e, l.number("waited"))
	}
	return fmt.Sprintf("%s had not answered for %.0f ms", e, l.number("waited"))
}

// attempts says what went wrong at each endpoint.
func attempts(lines []Line) string {
	r := tried(lines)
	if len(r) == 0 {
		return pending(lines[len(lines)-1])
	}
	return strings.Join(r, ", then ")
}

// tried says what went wrong at each endpoint that ended an attempt.
func tried(lines []Line) []string {
	var r []string
	for _, l := range lines {
		if !strings.HasPrefix(l.Message, "attempt:") {
			continue
		}
		w := word(l.Fields, "cause")
		if w == "" {
			w = word(l.Fields, "error")
		}
		if w == "" {
			w = strings.TrimPrefix(l.Message, "attempt: ")
		}
		r = append(r, fmt.Sprintf("%v after %.0f ms (%s)", l.Fields["endpoint"], l.number("took"), w))
	}
	return r
}

// Write prints a story for a terminal.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", s.ID, s.Cause)
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "  %s %s %s%s\n", l.Time.Format(timeFormat), l.Host, l.Message, fields(l))
	}
	if len(s.Beliefs) > 0 {
		b.WriteString("what its hosts believed:\n")
	}
	for _, l := range s.Beliefs {
		fmt.Fprintf(&b, "  %s %s %s%s\n", l.Time.Format(timeFormat), l.Host, l.Message, fields(l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func fields(l Line) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := fmt.Sprint(l.Fields[k]); k != "id" && v != "" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}
