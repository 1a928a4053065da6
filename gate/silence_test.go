package gate_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
)

const (
	// streamPause is how long a sound engine sends nothing between two tokens.
	streamPause = 25 * time.Second
	// streamTokens is the number of tokens of a streamed answer; the pause comes after pauseAfter tokens.
	streamTokens = 4
	pauseAfter   = 2
	// wholePause is how long a sound engine takes for an answer that isn't streamed, and servicePause a plain service.
	wholePause   = 6 * time.Minute
	servicePause = 50 * time.Second
	// forever is longer than any test.
	forever = 24 * time.Hour
)

// wholeText is the text of a complete stream.
const wholeText = "t0 t1 t2 t3 "

// pausing streams an answer with a pause in it.
func pausing(x *exchange) {
	n := x.delivered()
	x.tokens(n, pauseAfter)
	if x.pause(streamPause) {
		x.tokens(max(n, pauseAfter), streamTokens)
		x.end(streamTokens - n)
	}
}

// mute streams the first tokens of an answer and then nothing.
func mute(x *exchange) {
	x.tokens(x.delivered(), pauseAfter)
	x.pause(forever)
}

// sound streams an answer, or goes on with one.
func sound(x *exchange) {
	n := x.delivered()
	x.tokens(n, streamTokens)
	x.end(streamTokens - n)
}

// refuse refuses a request unstarted.
func refuse(x *exchange) {
	x.Header().Set("Hickoryshelf-Not-Run", "true")
	x.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers with an error of the engine.
func fail(x *exchange) { x.WriteHeader(http.StatusInternalServerError) }

// hang sends nothing.
func hang(x *exchange) { x.pause(forever) }

// foreign streams a chunk of another request's answer.
func foreign(x *exchange) {
	x.attempt = "other.0"
	sound(x)
}

// unable are the ways in which no other endpoint can go on with a request.
var unable = []struct {
	name string
	set  func(w *world)
}{
	{"no other endpoint", func(*world) {}},
	{"no retry budget", func(w *world) { w.further = 0; w.add("other", sound) }},
	{"the other refuses", func(w *world) { w.add("other", refuse) }},
	{"the others refuse", func(w *world) { w.add("b", refuse); w.add("c", refuse); w.add("d", refuse); w.add("e", refuse) }},
	{"the other fails", func(w *world) { w.add("other", fail) }},
	{"the other is silent", func(w *world) { w.add("other", hang) }},
	{"the other listens no more", func(w *world) { w.addClosed("other") }},
	{"the other answers something else", func(w *world) { w.add("other", foreign) }},
}

// TestPausingEngineIsNotGivenUpBeforeAnotherGoesOn guards against sound streams that are cut because their engine is silent
// for a while and no other one can go on with them.
func TestPausingEngineIsNotGivenUpBeforeAnotherGoesOn(t *testing.T) {
	for _, u := range unable {
		t.Run(u.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				e := w.add("first", pausing)
				u.set(w)
				r := w.stream(t.Context(), "")
				i.Equal(r.text, wholeText)
				i.Equal(r.outcome, "ran")
				i.True(r.done)
				synctest.Wait()
				i.Equal(e.served(), []run{{end: streamPause}}) // it ran once, to its end
			})
		})
	}
}

// TestStreamThatRunsOnceIsNotCutBySilence guards against sound streams that are cut because their engine is silent for a
// while, where the request must not be repeated.
func TestStreamThatRunsOnceIsNotCutBySilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", pausing)
		o := w.add("other", sound)
		r := w.stream(t.Context(), onceClass)
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.Equal(len(o.served()), 0) // it ran nowhere else
	})
}

// TestStreamWithToolCallsIsNotCutBySilence guards against sound streams that are cut because their engine is silent for a
// while after tool calls, which no other engine can go on with.
func TestStreamWithToolCallsIsNotCutBySilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", func(x *exchange) {
			x.delta(`{"tool_calls":[{"index":0}]}`)
			if x.pause(streamPause) {
				x.end(1)
			}
		})
		o := w.add("other", sound)
		r := w.stream(t.Context(), "")
		i.True(r.done)
		i.Equal(r.outcome, "ran")
		i.Equal(len(o.served()), 0) // it ran nowhere else
	})
}

// TestStreamOfLastAttemptIsNotCutBySilence guards against sound streams that are cut because their engine is silent for a
// while, where no further attempt is allowed.
func TestStreamOfLastAttemptIsNotCutBySilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		for _, id := range []string{"a", "b", "c"} {
			w.add(id, refuse)
		}
		w.add("fourth", pausing)
		o := w.add("fifth", sound)
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.Equal(len(o.served()), 0) // the attempts are used up
	})
}

// TestMuteEngineIsGivenUpOnceAnotherGoesOn guards against engines that are given up before another one goes on with their
// stream, and against streams that wait for an engine that sends nothing more.
func TestMuteEngineIsGivenUpOnceAnotherGoesOn(t *testing.T) {
	const prefill = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		e := w.add("first", mute)
		o := w.add("other", func(x *exchange) {
			if x.pause(prefill) {
				sound(x)
			}
		})
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.True(r.at < streamPause) // the caller doesn't wait for the first engine
		synctest.Wait()
		a, b := e.served(), o.served()
		i.Equal(len(a), 1)
		i.Equal(len(b), 1)
		i.True(a[0].cancelled)
		i.Equal(a[0].end, b[0].begin+prefill) // it was cancelled once the other one went on
		i.Equal(w.finished["r1.0"], core.EndedFailed)
		i.Equal(w.finished["r1.1"], core.EndedWell)
	})
}

// TestSecondMuteEngineIsPassedOver guards against streams that wait for ever because the second engine is as silent as the
// first one.
func TestSecondMuteEngineIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", mute)
		o := w.add("second", hang)
		w.add("third", sound)
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.True(r.at < time.Minute)
		synctest.Wait()
		i.True(o.served()[0].cancelled)
	})
}

// TestEngineThatGoesOnKeepsItsStream guards against two engines that go on with one stream: the first one sends again while
// the second one has sent nothing yet.
func TestEngineThatGoesOnKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", func(x *exchange) {
			x.tokens(0, pauseAfter)
			if x.pause(12 * time.Second) {
				x.tokens(pauseAfter, 3)
			}
			if x.pause(5 * time.Second) {
				x.tokens(3, streamTokens)
				x.end(streamTokens)
			}
		})
		o := w.add("other", hang)
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		synctest.Wait()
		i.Equal(o.served(), []run{{begin: 10 * time.Second, end: 12 * time.Second, cancelled: true}})
		i.Equal(w.finished["r1.0"], core.EndedWell)
		i.Equal(w.finished["r1.1"], core.EndedCancelled)
	})
}

// TestEngineThatBreaksOffBesideAnotherIsFollowed guards against requests that fail because the first engine breaks off while
// another one is about to go on, and against a third run of them.
func TestEngineThatBreaksOffBesideAnotherIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", func(x *exchange) {
			x.tokens(0, pauseAfter)
			x.pause(12 * time.Second)
			panic(http.ErrAbortHandler)
		})
		w.add("other", func(x *exchange) {
			if x.pause(5 * time.Second) {
				sound(x)
			}
		})
		o := w.add("third", sound)
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.Equal(len(o.served()), 0)
		i.Equal(w.finished["r1.0"], core.EndedFailed)
		i.Equal(w.finished["r1.1"], core.EndedWell)
	})
}

// TestSilentEngineEndsAsCallerLeaves guards against work for callers that have left while an engine is silent.
func TestSilentEngineEndsAsCallerLeaves(t *testing.T) {
	const leave = 30 * time.Second
	for _, c := range []string{"", onceClass} {
		synctest.Test(t, func(t *testing.T) {
			i := is.New(t)
			w := newWorld(t)
			e, o := w.add("first", mute), w.add("other", hang)
			x, stop := context.WithTimeout(t.Context(), leave)
			defer stop()
			r := w.stream(x, c)
			i.Equal(r.at, leave)
			synctest.Wait()
			for _, s := range append(e.served(), o.served()...) {
				i.True(s.cancelled)
				i.True(s.end <= leave)
			}
			i.Equal(len(e.served()), 1)
		})
	}
}

// lateAnswer answers after wholePause.
func lateAnswer(x *exchange) {
	if x.pause(wholePause) {
		x.answer("late")
	}
}

// TestLateAnswerIsNotCutBySilence guards against answers, not streamed, that are cut because they take long, though no other
// engine can give them.
func TestLateAnswerIsNotCutBySilence(t *testing.T) {
	for _, u := range unable {
		t.Run(u.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				e := w.add("first", lateAnswer)
				u.set(w)
				r := w.whole(t.Context(), "")
				i.Equal(r.outcome, "ran")
				i.True(strings.Contains(r.text, "late"))
				synctest.Wait()
				i.Equal(e.served(), []run{{end: wholePause}})
			})
		})
	}
}

// TestLateAnswerThatRunsOnceIsNotCut guards against answers that are cut because they take long, where the request must not
// be repeated.
func TestLateAnswerThatRunsOnceIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", lateAnswer)
		o := w.add("other", lateAnswer)
		r := w.whole(t.Context(), onceClass)
		i.Equal(r.outcome, "ran")
		i.True(strings.Contains(r.text, "late"))
		i.Equal(len(o.served()), 0)
	})
}

// TestHangingEngineIsGivenUpOnceAnotherAnswers guards against engines that are given up before another one has answered, and
// against requests that wait for an engine that never answers.
func TestHangingEngineIsGivenUpOnceAnotherAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		e := w.add("first", hang)
		w.add("other", func(x *exchange) {
			if x.pause(time.Minute) {
				x.answer("other")
			}
		})
		r := w.whole(t.Context(), "")
		i.Equal(r.outcome, "ran")
		i.True(strings.Contains(r.text, "other"))
		synctest.Wait()
		i.Equal(e.served(), []run{{end: r.at, cancelled: true}})
	})
}

// lateCall answers a call of a plain service after servicePause.
func lateCall(x *exchange) {
	if x.pause(servicePause) {
		_, _ = x.Write([]byte("late"))
	}
}

// TestLateServiceCallIsNotCutBySilence guards against calls of plain services that are cut because they take long: calls that
// must not be repeated, and calls that no other endpoint answers.
func TestLateServiceCallIsNotCutBySilence(t *testing.T) {
	for _, c := range []struct {
		name, method string
		set          func(w *world)
	}{
		{"not repeatable", http.MethodPost, func(w *world) { w.add("other", lateCall) }},
		{"no other endpoint", http.MethodGet, func(*world) {}},
		{"the other refuses", http.MethodGet, func(w *world) { w.add("other", refuse) }},
		{"the other fails", http.MethodGet, func(w *world) { w.add("other", fail) }},
		{"the other is silent", http.MethodGet, func(w *world) { w.add("other", hang) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				e := w.add("first", lateCall)
				c.set(w)
				r := w.ask(t.Context(), c.method, "/desk/book", "", "")
				i.Equal(r.status, http.StatusOK)
				i.Equal(r.text, "late")
				synctest.Wait()
				i.Equal(e.served(), []run{{end: servicePause}})
			})
		})
	}
}

// TestSuccessorThatOnlyBeginsDoesNotReplaceEngine guards against streams that are cut because another engine has begun an
// answer, without a part of it, and is silent then.
func TestSuccessorThatOnlyBeginsDoesNotReplaceEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", pausing)
		w.add("other", func(x *exchange) {
			x.delta(`{"role":"assistant","content":""}`)
			x.pause(forever)
		})
		r := w.stream(t.Context(), "")
		i.Equal(r.text, wholeText)
		i.Equal(r.outcome, "ran")
		i.Equal(w.finished["r1.0"], core.EndedWell)
	})
}
