package proxy

import (
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// JSON holds characters, while texts of requests and answers hold bytes. A text that is no UTF-8 is widened: each of its bytes is written
// as the character of that number, and read back from it. Widened frames have kinds of their own, so that a host of an earlier build doesn't
// take their texts as they are.

// widen returns a text with a character from U+0000 to U+00FF for each byte of s.
func widen(s string) string {
	var b strings.Builder
	for k := range len(s) {
		b.WriteRune(rune(s[k]))
	}
	return b.String()
}

// narrow reverses widen. It returns false if s has another character.
func narrow(s string) (string, bool) {
	b := make([]byte, 0, len(s))
	for _, r := range s {
		if r > 0xFF {
			return "", false
		}
		b = append(b, byte(r))
	}
	return string(b), true
}

// isUTF8 reports whether JSON keeps all texts of a value, which mapTexts maps.
func isUTF8[T any](mapTexts func(func(string) string) T) bool {
	ok := true
	mapTexts(func(s string) string {
		ok = ok && utf8.ValidString(s)
		return s
	})
	return ok
}

// narrowed returns a value whose texts were widened as it was before, or errFrame if they weren't.
func narrowed[T any](mapTexts func(func(string) string) T) (T, error) {
	var err error
	v := mapTexts(func(s string) string {
		n, ok := narrow(s)
		if !ok {
			err = errFrame
		}
		return n
	})
	return v, err
}

// mapTexts returns the call with f of each text that may hold any bytes.
func (v call) mapTexts(f func(string) string) call {
	v.RequestID, v.Method, v.Host, v.Target, v.ResumeAfter = f(v.RequestID), f(v.Method), f(v.Host), f(v.Target), f(v.ResumeAfter)
	v.Header = mapHeader(v.Header, f)
	v.Prompt.Parts = slices.Clone(v.Prompt.Parts)
	for k, p := range v.Prompt.Parts {
		v.Prompt.Parts[k] = relay.Part{ID: f(p.ID), Tokens: p.Tokens}
	}
	return v
}

// mapTexts returns the head with f of each text that may hold any bytes. Its cause is for logs only.
func (h head) mapTexts(f func(string) string) head {
	h.Header = mapHeader(h.Header, f)
	return h
}

// mapHeader returns a header with f of each name and value.
func mapHeader(h http.Header, f func(string) string) http.Header {
	if h == nil {
		return nil
	}
	r := make(http.Header, len(h))
	for n, l := range h {
		c := slices.Clone(l)
		for k, v := range l {
			c[k] = f(v)
		}
		r[f(n)] = c
	}
	return r
}

// frame returns the kind of the frame of a call, and the call as that holds it.
func (v call) frame() (kind, call) {
	if isUTF8(v.mapTexts) {
		return callFrame, v
	}
	return wideCallFrame, v.mapTexts(widen)
}

// frame returns the kind of the frame of a head, and the head as that holds it. wide tells whether the other host knows wideHeadFrame: a
// host of an earlier build gets other characters in place of bytes that are no UTF-8.
func (h head) frame(wide bool) (kind, head) {
	if !wide || isUTF8(h.mapTexts) {
		return headFrame, h
	}
	return wideHeadFrame, h.mapTexts(widen)
}

// decodeCall decodes the content of a callFrame, a wideCallFrame or a revokeFrame.
func decodeCall(k kind, content []byte) (call, error) {
	var v call
	err := decode(content, &v)
	if err != nil || k != wideCallFrame {
		return v, err
	}
	return narrowed(v.mapTexts)
}

// decodeHead decodes the content of a headFrame or a wideHeadFrame.
func decodeHead(k kind, content []byte) (head, error) {
	var h head
	err := decode(content, &h)
	if err != nil || k != wideHeadFrame {
		return h, err
	}
	return narrowed(h.mapTexts)
}
