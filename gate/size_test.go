package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
)

// longText is a sound answer's text of some MiB; a contract with longTokens output tokens allows it.
var longText = strings.Repeat("0123456789abcdef", 3<<20/16)

const longTokens = 8000

// longStream sends a number of chunks of 32 KiB text as a stream, or goes on with one.
func longStream(x *exchange, chunks int) {
	for range chunks {
		x.delta(`{"content":"` + longText[:32<<10] + `"}`)
	}
}

// Guards against a judged stream that is held back though it is longer than the request's output tokens allow, and against another
// engine that continues it instead of beginning anew.
func TestTooLongHeldStreamIsFaultOfEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.addRater(1)
		w.add("a", func(x *exchange) { longStream(x, 100); x.end(100) })
		w.add("b", sound)
		r := w.stream(t.Context(), judgedClass)
		i.Equal(r.text, wholeText)
		i.True(r.done)
		i.Equal(w.finished["r1.0"], core.EndedFaulty)
	})
}

// Guards against a stream longer than the request's output tokens allow that is passed on without end, or continued.
func TestTooLongStreamEndsAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("a", func(x *exchange) { longStream(x, 100); x.end(100) })
		b := w.add("b", sound)
		r := w.stream(t.Context(), "chat")
		i.True(!r.done)
		i.Equal(r.outcome, "unknown")
		i.Equal(w.finished["r1.0"], core.EndedFaulty)
		i.Equal(len(b.served()), 0)
	})
}

// Guards against a sound stream that is cut because its text takes more than the account has, and against one that is continued
// without the text before.
func TestStreamLongerThanAccountIsPassedOn(t *testing.T) {
	for _, end := range []bool{true, false} {
		t.Run(fmt.Sprintf("complete %t", end), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.contract.MaxOutputTokens = outputTokens
				const chunks = 40 << 20 / (32 << 10) // 40 MiB
				w.add("a", func(x *exchange) {
					longStream(x, chunks)
					if end {
						x.end(chunks)
					}
				})
				b := w.add("b", sound)
				r := w.stream(t.Context(), "chat")
				i.Equal(r.done, end)
				i.Equal(len(r.text), 40<<20)
				i.Equal(len(b.served()), 0)
				if !end {
					i.Equal(r.outcome, "unknown")
				}
			})
		})
	}
}

// Guards against sound answers of some MiB that are refused or cut though the account has room.
func TestLongSoundAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.contract.MaxOutputTokens = longTokens
		w.add("a", func(x *exchange) { x.answer(longText) })
		for range 3 { // the memory is given back
			r := w.whole(t.Context(), "chat")
			i.Equal(r.status, http.StatusOK)
			i.True(strings.Contains(r.text, `"`+longText+`"`))
			i.True(strings.Contains(r.text, `"usage"`))
		}
	})
}

// Guards against an endpoint that is asked on though it sends more than the request's output tokens allow.
func TestTooLongAnswerIsFaultOfEngine(t *testing.T) {
	for n, f := range map[string]func(x *exchange){
		"length unknown": func(x *exchange) { x.answer(longText) },
		"length known": func(x *exchange) {
			x.Header().Set("Content-Length", fmt.Sprint(len(longText)))
			x.answer(longText[:1000])
		},
		"refusal": func(x *exchange) {
			x.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(x, longText)
		},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.add("a", f)
				w.add("b", func(x *exchange) { x.answer("sound") })
				r := w.whole(t.Context(), "chat")
				i.Equal(r.status, http.StatusOK)
				i.True(strings.Contains(r.text, `"sound"`))
				i.Equal(w.finished["r1.0"], core.EndedFaulty)
				i.Equal(w.finished["r1.1"], core.EndedWell)
			})
		})
	}
}

// Guards against an answer of a plain service that is passed on cut as if it were whole, and against one that is asked for again.
func TestTooLongAnswerOfServiceIsNotCut(t *testing.T) {
	for n, c := range map[string]struct{ method, class string }{
		"repeatable": {http.MethodGet, "chat"}, "not repeatable": {http.MethodPost, "chat"}, "with a claim": {http.MethodPost, onceClass},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				long := func(x *exchange) {
					for range 3 {
						_, _ = io.WriteString(x, longText)
					}
				}
				w.add("a", long)
				b := w.add("b", long)
				r := w.ask(t.Context(), c.method, "/desk/x", c.class, "")
				i.Equal(r.status, http.StatusBadGateway)
				i.Equal(r.outcome, "unknown")
				i.True(strings.Contains(r.text, "answer-too-long"))
				i.Equal(w.finished["r1.0"], core.EndedCancelled) // the endpoint isn't at fault
				i.Equal(len(b.served()), 0)
			})
		})
	}
}

// Guards against sound answers of a plain service that are refused by the bound of longer ones.
func TestLongAnswersOfServiceAreWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("a", func(x *exchange) { _, _ = io.WriteString(x, longText+longText) })
		for range 3 { // the memory is given back
			r := w.ask(t.Context(), http.MethodGet, "/desk/x", "chat", "")
			i.Equal(r.status, http.StatusOK)
			i.Equal(len(r.text), 2*len(longText))
		}
	})
}

// Guards against the answer to a HEAD request that is refused by the length that it names.
func TestLengthInHeadIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.add("a", func(x *exchange) { x.Header().Set("Content-Length", fmt.Sprint(1<<30)) })
		i.Equal(w.ask(t.Context(), http.MethodHead, "/desk/x", "chat", "").status, http.StatusOK)
	})
}

// Guards against sound answers that are refused because earlier ones, which no rating service takes, fill the account.
func TestAnswersThatWaitForRatingLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		w := newWorld(t)
		w.contract.MaxOutputTokens = outputTokens
		w.further = 0
		text := longText
		w.add("a", func(x *exchange) { x.answer(text) })
		for range 20 {
			i.Equal(w.whole(t.Context(), "chat").status, http.StatusOK)
		}
		text = strings.Repeat(longText, 3)
		i.Equal(w.whole(t.Context(), "chat").status, http.StatusOK)
	})
}

// Guards against a faulty endpoint whose answers use up what sound ones of another endpoint need, and against memory that isn't given
// back.
func TestRequestsBesideEndlessAnswersOfEngineAreServed(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				w := newWorld(t)
				w.contract.MaxOutputTokens = outputTokens
				w.further = 0
				w.add("a", func(x *exchange) {
					for range endlessBytes / len(longText) {
						if stream {
							longStream(x, len(longText)/(32<<10))
							continue
						}
						_, _ = io.WriteString(x, longText)
						_ = http.NewResponseController(x.ResponseWriter).Flush()
					}
					x.pause(forever)
				})
				w.listen("b", func(x *exchange) {
					if stream {
						sound(x)
						return
					}
					x.answer(longText)
				})
				c, f := context.WithCancel(t.Context())
				var faulty sync.WaitGroup
				for range manyRequests {
					faulty.Go(func() {
						if stream {
							w.stream(c, "chat")
							return
						}
						w.whole(c, "chat")
					})
				}
				time.Sleep(time.Second)
				w.setOrder("b")
				i.True(w.memory.Taken() > 0)
				if stream {
					i.True(w.stream(t.Context(), "chat").done)
				} else {
					i.Equal(w.whole(t.Context(), "chat").status, http.StatusOK)
				}
				f()
				faulty.Wait()
				i.Equal(w.memory.Taken(), int64(0))
			})
		})
	}
}
