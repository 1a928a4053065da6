package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/hickoryshelf/hickoryshelf/token"
)

// autoModel is the model name that leaves the choice of a version to the router.
const autoModel = "auto"

// defaultOutputTokens is the estimate of output tokens where a request names no bound.
const defaultOutputTokens = 256

// bytesPerToken is the estimate of a prompt's length in tokens.
const bytesPerToken = 4

// jsonObject is a JSON object whose unknown fields are passed on as they are.
type jsonObject map[string]json.RawMessage

// chatFields are the fields of a completion request that the router reads.
type chatFields struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`            // OpenAI's format
	MaxCompletionTokens int               `json:"max_completion_tokens"` // OpenAI's format
	StreamOptions       streamOptions     `json:"stream_options"`        // OpenAI's format
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"` // OpenAI's format
}

// callerRequest is one request of a caller on its way through the gate.
type callerRequest struct {
	id      string
	keyHash string
	class   string
	// idempotencyKey is the caller's idempotency idempotencyKey, or empty.
	idempotencyKey string
	fingerprint    string
	// version is the one that the request names; empty leaves the choice to the router.
	version string
	session token.Session
	chat    chatFields
	body    jsonObject
	// bodyBytes is the length of the body in bytes.
	bodyBytes int
}

// parseChat reads a completion request.
func (g *Gate) parseChat(w http.ResponseWriter, r *http.Request) (*callerRequest, *failure) {
	b, f := readBody(w, r)
	if f != nil {
		return nil, f
	}
	x := &callerRequest{
		id: g.router.NewID(), keyHash: keyHash(r), class: r.Header.Get(HeaderClass), idempotencyKey: r.Header.Get(HeaderKey), bodyBytes: len(b),
	}
	if err := json.Unmarshal(b, &x.body); err != nil {
		return x, badRequest("the body is no JSON object: " + err.Error() + "; correct it")
	}
	if err := json.Unmarshal(b, &x.chat); err != nil {
		return x, badRequest("a field has the wrong type: " + err.Error() + "; correct it")
	}
	if len(x.chat.Messages) == 0 {
		return x, badRequest("messages is empty; send at least one message")
	}
	if x.chat.Model != autoModel {
		x.version = x.chat.Model
	}
	if t := r.Header.Get(HeaderSession); t != "" {
		s, err := g.signer.Verify(t)
		if err != nil {
			return x, badRequest(err.Error())
		}
		x.session = s
	}
	x.fingerprint = fingerprint(r.URL.Path, b)
	return x, nil
}

// fingerprint tells whether two requests are the same.
func fingerprint(path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// outputLimit returns the bound on the answer's length in tokens, within the contract's.
func (x *callerRequest) outputLimit(limit int) int {
	n := max(x.chat.MaxTokens, x.chat.MaxCompletionTokens)
	if n <= 0 {
		return limit
	}
	return min(n, limit)
}

// estimatedTokens estimates the estimatedTokens of the request and its answer.
func (x *callerRequest) estimatedTokens() float64 {
	n := max(x.chat.MaxTokens, x.chat.MaxCompletionTokens)
	if n <= 0 {
		n = defaultOutputTokens
	}
	return float64(x.bodyBytes/bytesPerToken + n)
}

// engineBody returns the body for an engine. prefix is the JSON-escaped text that the caller has already, to
// be continued.
func (x *callerRequest) engineBody(version string, limit int, prefix []byte) ([]byte, error) {
	d := make(jsonObject, len(x.body)+3)
	for k, v := range x.body {
		d[k] = v
	}
	delete(d, "max_completion_tokens")
	if err := d.set("model", version); err != nil {
		return nil, err
	}
	if err := d.set("max_tokens", x.outputLimit(limit)); err != nil {
		return nil, err
	}
	if x.chat.Stream {
		d["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if len(prefix) > 0 {
		d.continueFrom(x.chat.Messages, prefix)
	}
	return json.Marshal(d)
}

func (d jsonObject) set(key string, value any) error {
	b, err := json.Marshal(value)
	d[key] = b
	return err
}

// continueFrom makes the engine go on with an answer that another engine began.
func (d jsonObject) continueFrom(messages []json.RawMessage, prefix []byte) {
	var b []byte
	b = append(b, '[')
	for _, m := range messages {
		b = append(b, m...)
		b = append(b, ',')
	}
	b = append(b, `{"role":"assistant","content":"`...)
	b = append(b, prefix...)
	b = append(b, `"}]`...)
	d["messages"] = b
	d["continue_final_message"] = json.RawMessage("true")
	d["add_generation_prompt"] = json.RawMessage("false")
}
