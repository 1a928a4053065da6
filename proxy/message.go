// Package proxy carries requests between entry hosts: a host that reaches no endpoint of a service sends them through one
// that does. A request makes one hop: the other host sends it to the endpoint that the first one has chosen, or declines.
package proxy

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/limit"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

//go:generate go tool stringer -type=kind -linecomment -output=enum_string.go

// kind is the kind of a frame.
type kind byte

// Kinds of frames. A frame is its kind (1 byte), the length of its content (4 bytes, big endian) and the content.
const (
	// callFrame holds a call as JSON. A bodyFrame with the body of the request follows.
	callFrame kind = iota // call
	bodyFrame             // body
	// revokeFrame holds the ID of a call that must not begin any more, if it hasn't begun.
	revokeFrame // revoke
	// begunFrame says that the request is sent to the endpoint from now on, or, after a revokeFrame, that it was.
	begunFrame // begun
	// declinedFrame holds a refusal as JSON: the request will not be sent.
	declinedFrame // declined
	// headFrame holds the reply of the endpoint as JSON, and dataFrame a piece of its body.
	headFrame // head
	dataFrame // data
	// endFrame ends the reply. It holds the text of the error that broke the body off, or nothing.
	endFrame // end
	// wideCallFrame and wideHeadFrame hold a call and a reply with texts that aren't UTF-8, which are widened. Hosts of earlier builds
	// don't know them: they close the connection, and send no request.
	wideCallFrame // wide call
	wideHeadFrame // wide head
	// directoryFrame asks which control hosts the other host knows, and holds its answer as JSON. Hosts of earlier builds close the connection.
	directoryFrame // directory
)

const (
	// maxHeadBytes bounds the JSON of a frame, and maxBodyBytes the body of a request.
	maxHeadBytes = 1 << 20
	maxBodyBytes = 64 << 20
	// frameHeadBytes is the length of a frame without its content.
	frameHeadBytes = 5
	// dataBytes is the largest piece of a body.
	dataBytes = 16 << 10
)

// call asks a host to send a request to an endpoint.
type call struct {
	// ID names the call. It is unique.
	ID string `json:"id"`
	// Token is that of the host that is asked, and Origin the name of the one that asks.
	Token  string `json:"token"`
	Origin string `json:"origin"`
	// RequestID, Method, Host, Target and Header are those of the request.
	RequestID string       `json:"request-id"`
	Method    string       `json:"method"`
	Host      string       `json:"host"`
	Target    string       `json:"target"`
	Header    http.Header  `json:"header"`
	Prompt    relay.Prompt `json:"prompt"`
	Endpoint  fleet.Report `json:"endpoint"`
	Account   string       `json:"account"`
	Model     string       `json:"model"`
	// RemainingMS is the time left until the deadline of the request, in milliseconds.
	RemainingMS int64  `json:"remaining-ms"`
	ResumeAfter string `json:"resume-after"`
	Priority    int    `json:"priority"`
	// MaxConnections is the number of connections that the asking host may open to the endpoint, which are free now.
	MaxConnections int `json:"max-connections"`
	// Repeated is as in relay.Attempt. Hosts of earlier builds leave it out.
	Repeated bool `json:"repeated"`
	// WideHead tells that the asking host knows wideHeadFrame. Hosts of earlier builds leave it out.
	WideHead bool `json:"wide-head"`
}

// refusal says why a host declines a call.
type refusal struct {
	Reason string `json:"reason"`
	// RetryAfterMS is the time after which the host may be asked again, in milliseconds.
	RetryAfterMS int64 `json:"retry-after-ms"`
	// Drained tells that the data centre of the endpoint is drained. Hosts of earlier builds leave it out, and ask the host for nothing
	// during RetryAfterMS.
	Drained bool `json:"drained,omitempty"`
}

// head is the reply of an endpoint, without its body.
type head struct {
	Verdict    relay.Verdict `json:"verdict"`
	Status     int           `json:"status"`
	Header     http.Header   `json:"header"`
	Confidence int           `json:"confidence"`
	HasBody    bool          `json:"has-body"`
	// Limit is a number of requests per second, and RestMS a time in milliseconds; see pick.Asks.
	Limit  limit.Rate `json:"limit"`
	RestMS int64      `json:"rest-ms"`
	// Brittle is left out by hosts of older builds.
	Brittle            limit.Rate `json:"brittle,omitempty"`
	TurnedAway         bool       `json:"turned-away"`
	Leaving            bool       `json:"leaving"`
	Length             int64      `json:"length"`
	Cause              string     `json:"cause"`
	WrongEndpoint      bool       `json:"wrong-endpoint"`
	EndsWithConnection bool       `json:"ends-with-connection"`
	Unreachable        bool       `json:"unreachable"`
}

// newHead returns the head of a reply.
func newHead(r relay.Reply) head {
	h := head{
		Verdict: r.Verdict, Status: r.Status, Header: r.Header, Confidence: r.Confidence, HasBody: r.Body != nil, Limit: r.Asks.Limit, Brittle: r.Asks.Brittle, RestMS: r.Asks.Rest.Milliseconds(), TurnedAway: r.Asks.TurnedAway, Leaving: r.Asks.Leaving, Length: r.Length,
		WrongEndpoint: r.WrongEndpoint, EndsWithConnection: r.EndsWithConnection, Unreachable: r.Unreachable,
	}
	if r.Cause != nil {
		h.Cause = r.Cause.Error()
	}
	return h
}

// reply returns the reply with a head, without its body.
func (h head) reply() relay.Reply {
	r := relay.Reply{
		Verdict: h.Verdict, Status: h.Status, Header: h.Header, Confidence: h.Confidence, Length: h.Length,
		WrongEndpoint: h.WrongEndpoint, EndsWithConnection: h.EndsWithConnection, Unreachable: h.Unreachable,
	}
	r.Asks = pick.Asks{Limit: h.Limit, Brittle: h.Brittle, Rest: time.Duration(h.RestMS) * time.Millisecond, TurnedAway: h.TurnedAway, Leaving: h.Leaving}
	if h.Cause != "" {
		r.Cause = errors.New(h.Cause)
	}
	return r
}

// errFrame means that the other host sent something that isn't a frame that may come now.
var errFrame = errors.New("the other host sent no valid frame; the connection is given up")

// writeFrame writes a frame.
func writeFrame(w io.Writer, k kind, content []byte) error {
	_, err := w.Write(append(frameHead(k, len(content)), content...))
	return err
}

// frameHead returns what precedes the content of a frame, with room for that content if it is short.
func frameHead(k kind, length int) []byte {
	b := make([]byte, frameHeadBytes, frameHeadBytes+min(length, dataBytes))
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], uint32(length))
	return b
}

// joinedBodyBytes is the largest body that is copied, so that it is written together with its frame's head.
const joinedBodyBytes = 4 << 10

// writeBody writes the bodyFrame of a request. A long body is written piece by piece without a copy.
func writeBody(w io.Writer, q *relay.Request) error {
	n := q.BodyLen()
	if n <= joinedBodyBytes {
		var b bytes.Buffer
		_ = q.WriteBody(&b) // writing to a bytes.Buffer doesn't fail
		return writeFrame(w, bodyFrame, b.Bytes())
	}
	if _, err := w.Write(frameHead(bodyFrame, n)); err != nil {
		return err
	}
	return q.WriteBody(w)
}

// writeJSON writes a frame that holds a value as JSON.
func writeJSON(w io.Writer, k kind, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode a %v frame: %w", k, err)
	}
	return writeFrame(w, k, b)
}

// readHead reads the kind of the next frame and the length of its content, which is at most limit bytes.
func readHead(r *bufio.Reader, limit int) (kind, int, error) {
	var b [frameHeadBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, 0, err
	}
	n := binary.BigEndian.Uint32(b[1:])
	if uint64(n) > uint64(limit) {
		return 0, 0, errFrame
	}
	return kind(b[0]), int(n), nil
}

// readFrame reads a frame with at most limit bytes of content.
func readFrame(r *bufio.Reader, limit int) (kind, []byte, error) {
	k, n, err := readHead(r, limit)
	if err != nil {
		return 0, nil, err
	}
	b := make([]byte, n)
	_, err = io.ReadFull(r, b)
	return k, b, err
}

// decode decodes the JSON of a frame.
func decode(content []byte, v any) error {
	if err := json.Unmarshal(content, v); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}
