package gate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/hickoryshelf/hickoryshelf/token"
)

// autoModel is the model name with which a caller lets the router choose the model version.
const autoModel = "auto"

// defaultOutputTokens is the estimated length of an answer, in tokens, if the request sets no limit.
const defaultOutputTokens = 256

// bytesPerToken is the assumed length of a prompt token, in bytes; prompt lengths are estimated with it.
const bytesPerToken = 4

// jsonObject is a JSON object whose fields are kept undecoded, so that fields that the router doesn't know
// reach the engine unchanged.
type jsonObject map[string]json.RawMessage

// chatFields holds the fields of a chat completion request that the router reads.
type chatFields struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`            // OpenAI's format
	MaxCompletionTokens int               `json:"max_completion_tokens"` // OpenAI's format
	StreamOptions       streamOptions     `json:"stream_options"`        // OpenAI's format
}

// streamOptions holds the stream_options of a chat completion request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"` // OpenAI's format
}

// callerRequest is a parsed request: a chat completion, or a call of a plain service, for which only id,
// keyHash, idempotencyKey, fingerprint and bodyBytes are set.
type callerRequest struct {
	id      string
	keyHash string
	class   string
	// idempotencyKey is the value of the Idempotency-Key header, or empty.
	idempotencyKey string
	fingerprint    string
	// version is the model version that the request names; if empty, the router chooses one.
	version string
	session token.Session
	chat    chatFields
	body    jsonObject
	// bodyBytes is the length of the body in bytes.
	bodyBytes int
}

// parseChat reads and checks a chat completion request and its session token. After a failure the returned
// request is nil if the body could not be read, and otherwise filled as far as parsing got.
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

// fingerprint returns a hash of path and body, as 32 hex digits. Equal fingerprints mean that a resend under
// an idempotency key is the same request.
func fingerprint(path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// outputLimit returns the largest number of tokens that the answer may have: the limit that the request asks
// for, but at most limit, which is the contract's.
func (x *callerRequest) outputLimit(limit int) int {
	n := max(x.chat.MaxTokens, x.chat.MaxCompletionTokens)
	if n <= 0 {
		return limit
	}
	return min(n, limit)
}

// estimatedTokens returns an estimate of input plus output tokens, for admission control.
func (x *callerRequest) estimatedTokens() float64 {
	n := max(x.chat.MaxTokens, x.chat.MaxCompletionTokens)
	if n <= 0 {
		n = defaultOutputTokens
	}
	return float64(x.bodyBytes/bytesPerToken + n)
}

// engineBody returns the JSON body that is sent to an engine, with the chosen version and the output limit.
// A streamed request always asks for usage, which billing needs. prefix is the JSON-escaped text that the
// caller has already received from another engine; if it isn't empty, the engine is asked to continue it.
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

// set stores value under key, encoded as JSON.
func (d jsonObject) set(key string, value any) error {
	b, err := json.Marshal(value)
	d[key] = b
	return err
}

// continueFrom makes the engine continue an answer that another engine began: it appends prefix, which is
// JSON-escaped, to messages as the start of the assistant's message.
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
