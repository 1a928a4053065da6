package relay

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"strings"
)

// errNotContinued means that an endpoint's answer doesn't go on with the stream that the caller has begun to receive.
var errNotContinued = errors.New("the answer doesn't continue the stream that has begun; nothing of it is passed on")

// isStream reports whether an answer on a route for streams is one. Another answer, such as the endpoint's own refusal, is
// passed on as a whole or not at all.
func isStream(r Reply) bool { return r.Status == http.StatusOK }

// mayContinue reports whether an answer may go on with the stream that the caller has begun to receive: it is a stream of the
// same type, and the endpoint was told where to begin.
func (j *job) mayContinue(r Reply) bool {
	return isStream(r) && mediaType(r) == j.contentType && j.resumable()
}

// resumable reports whether another endpoint can be told after which event it has to begin.
func (j *job) resumable() bool { return j.passed == 0 || j.lastEventID != "" }

// mayFollow reports whether an event may be passed on after those before it. If another attempt has begun the stream, it needs an
// ID that is higher than the last one. The head of an answer is no event.
func (u *upstreamAttempt) mayFollow(e []byte) bool {
	if bytes.HasPrefix(e, answerHead) {
		return false
	}
	if !u.continues || u.job.lastEventID == "" {
		return true
	}
	i, ok := eventID(e)
	return ok && isLater(i, u.job.lastEventID)
}

// answerHead begins the head of an HTTP answer.
var answerHead = []byte("HTTP/1.")

// isLater reports whether an event ID is that of a later event than another one. IDs that aren't numbers are only compared for
// equality.
func isLater(id, other string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, oerr := strconv.ParseInt(other, 10, 64)
	if err != nil || oerr != nil {
		return id != other
	}
	return a > b
}

// eventID returns the ID of a server-sent event, or false if the event has none.
func eventID(e []byte) (string, bool) {
	for l := range strings.Lines(string(e)) {
		if v, ok := strings.CutPrefix(l, "id:"); ok {
			v = strings.TrimSpace(v)
			return v, v != ""
		}
	}
	return "", false
}

// mediaType returns the media type of an answer without its parameters, or its Content-Type if that isn't valid.
func mediaType(r Reply) string {
	t := r.Header.Get("Content-Type")
	if m, _, err := mime.ParseMediaType(t); err == nil {
		return m
	}
	return t
}
