package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/core"
)

// longText is a sound answer's text of some MiB; a contract with longTokens output tokens allows it.
var longText = strings.Repeat("0123456789abcdef", 3<<20/16)

const longTokens = 8000

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
