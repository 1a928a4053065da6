package gate_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// failures are the ways in which another version doesn't answer.
var failures = []struct {
	name  string
	serve func(x *exchange)
}{
	{"refuses", refuse},
	{"fails", fail},
	{"is silent", hang},
	{"breaks off", func(*exchange) { panic(http.ErrAbortHandler) }},
}

// lowScore is below the quality of judgedClass.
const lowScore = 0.1

// TestJudgedAnswerIsKeptUntilAnotherIsThere guards against requests that fail though an answer was there: it was judged too low
// and discarded, and the version that was asked next didn't answer.
func TestJudgedAnswerIsKeptUntilAnotherIsThere(t *testing.T) {
	for _, c := range failures {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.add("small", func(x *exchange) { x.answer("low") })
				w.addLarge("large", c.serve)
				w.addRater(lowScore)
				r := w.whole(t.Context(), judgedClass)
				i.Equal(r.status, http.StatusOK)
				i.Equal(r.outcome, "ran")
				i.Equal(r.version, version)
				i.True(strings.Contains(r.text, "low"))
			})
		})
	}
}

// TestJudgedStreamIsKeptUntilAnotherBegins is TestJudgedAnswerIsKeptUntilAnotherIsThere for streams.
func TestJudgedStreamIsKeptUntilAnotherBegins(t *testing.T) {
	for _, c := range failures {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.add("small", sound)
				w.addLarge("large", c.serve)
				w.addRater(lowScore)
				r := w.stream(t.Context(), judgedClass)
				i.Equal(r.text, wholeText)
				i.Equal(r.outcome, "ran")
				i.Equal(r.version, version)
				i.True(r.done)
			})
		})
	}
}

// TestJudgedAnswerIsReplaced guards against answers that are delivered though they were judged too low and another version has
// answered.
func TestJudgedAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("small", func(x *exchange) { x.answer("low") })
		w.addLarge("large", func(x *exchange) { x.answer("high") })
		w.addRater(lowScore)
		r := w.whole(t.Context(), judgedClass)
		i.Equal(r.outcome, "ran")
		i.Equal(r.version, largeVersion)
		i.True(strings.Contains(r.text, "high"))
	})
}
