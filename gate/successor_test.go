package gate_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
)

// TestSuccessorThatSendsNoPartDoesNotReplaceEngine guards against streams that are cut because another engine sends many chunks
// without a part of the answer, and is silent then.
func TestSuccessorThatSendsNoPartDoesNotReplaceEngine(t *testing.T) {
	const chunks = 40
	for _, d := range []string{`{"role":"assistant","content":""}`, `{}`} {
		t.Run(d, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.add("first", pausing)
				w.add("other", func(x *exchange) {
					for range chunks {
						x.delta(d)
					}
					x.pause(forever)
				})
				r := w.stream(t.Context(), "")
				i.Equal(r.text, wholeText)
				i.Equal(r.outcome, "ran")
				i.Equal(w.finished["r1.0"], core.EndedWell)
			})
		})
	}
}

// TestSuccessorWithOtherPartsReplacesMuteEngine guards against streams that wait for an engine that sends nothing more, though another one
// goes on with parts of the answer that aren't text.
func TestSuccessorWithOtherPartsReplacesMuteEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("first", hang)
		w.add("other", func(x *exchange) {
			x.delta(`{"role":"assistant","content":""}`)
			x.delta(`{"reasoning":"x"}`)
			if x.pause(forever) {
				x.end(0)
			}
		})
		c, leave := context.WithTimeout(t.Context(), time.Minute)
		defer leave()
		w.stream(c, "")
		synctest.Wait()
		i.Equal(w.finished["r1.0"], core.EndedFailed)
		i.Equal(w.finished["r1.1"], core.EndedCancelled)
	})
}

// TestSignOfSilentEngineLeavesSuccessorOpen guards against streams that wait for an engine that sends nothing of the answer, because
// its comments or empty chunks keep others from being asked, or end the attempt beside it.
func TestSignOfSilentEngineLeavesSuccessorOpen(t *testing.T) {
	const prefill = 5 * time.Second
	for n, f := range map[string]func(x *exchange){
		"comment":     func(x *exchange) { x.comment() },
		"empty chunk": func(x *exchange) { x.delta(`{"content":""}`) },
	} {
		for _, interval := range []time.Duration{4 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(n, " each ", interval), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					i := is.New(t)
					w := newWorld(t)
					w.add("first", func(x *exchange) {
						x.tokens(0, pauseAfter)
						for x.pause(interval) {
							f(x)
						}
					})
					w.add("other", func(x *exchange) {
						if x.pause(prefill) {
							sound(x)
						}
					})
					c, leave := context.WithTimeout(t.Context(), time.Minute)
					defer leave()
					r := w.stream(c, "")
					i.Equal(r.text, wholeText)
					i.True(r.at < streamPause)
				})
			})
		}
	}
}

// TestWrongChunkOfSilentEngineLeavesSuccessorOpen guards against streams that are lost because a chunk of another answer, or an early end mark, ended
// the attempt beside the engine that sent it, as well as that engine's own.
func TestWrongChunkOfSilentEngineLeavesSuccessorOpen(t *testing.T) {
	for n, f := range map[string]func(x *exchange){
		"foreign":       foreign,
		"end mark only": func(x *exchange) { _, _ = x.Write([]byte("data: [DONE]\n\n")) },
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.further = 1
				w.add("first", func(x *exchange) {
					if x.pause(12 * time.Second) {
						f(x)
					}
				})
				w.add("other", func(x *exchange) {
					if x.pause(5 * time.Second) {
						sound(x)
					}
				})
				r := w.stream(t.Context(), "")
				i.Equal(r.text, wholeText)
				i.Equal(r.outcome, "ran")
			})
		})
	}
}
