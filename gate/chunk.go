package gate

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hickoryshelf/hickoryshelf/memory"
)

// cutID returns what follows the id of chunk v, and whether the id is that of an attempt.
func cutID(v []byte, attemptID string) ([]byte, bool) {
	r, ok := bytes.CutPrefix(v, idField)
	if !ok {
		return nil, false
	}
	r, ok = bytes.CutPrefix(r, []byte(attemptID))
	return r, ok && len(r) > 0 && r[0] == '"'
}

// chunkContent returns the JSON-escaped text of chunk v, or nil if it has none.
func chunkContent(v []byte) []byte {
	i := bytes.Index(v, contentField)
	if i < 0 {
		return nil
	}
	v = v[i+len(contentField):]
	for k := 0; k < len(v); k++ {
		switch v[k] {
		case '\\':
			k++
		case '"':
			return v[:k]
		}
	}
	return nil
}

// chunkDeltas are the deltas of a chunk, by their fields.
type chunkDeltas struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"` // OpenAI's format
	} `json:"choices"`
}

// hasPart reports whether a chunk has a part of the answer: text, tool calls, its end, or any other field of a delta but its role. A
// chunk that can't be read counts as one.
func hasPart(chunk []byte) bool {
	if len(chunkContent(chunk)) > 0 || bytes.Contains(chunk, toolCallsField) || bytes.Contains(chunk, finishReasonField) {
		return true
	}
	var c chunkDeltas
	if json.Unmarshal(chunk, &c) != nil {
		return true
	}
	for _, o := range c.Choices {
		for k, v := range o.Delta {
			if k != "role" && !isEmpty(v) {
				return true
			}
		}
	}
	return false
}

// isEmpty reports whether a JSON value is null, an empty text, an empty list or an empty object.
func isEmpty(v json.RawMessage) bool {
	switch string(v) {
	case "null", `""`, "[]", "{}":
		return true
	}
	return false
}

// appendChunk appends a chunk to b as an event under the request's id. rest is the chunk after its id.
func appendChunk(b []byte, requestID string, rest []byte) []byte {
	b = append(b, dataPrefix...)
	b = append(b, idField...)
	b = append(b, requestID...)
	b = append(b, rest...)
	return append(b, "\n\n"...)
}

// keepChunk appends a chunk to a buffer as appendChunk does. It returns a *memory.FullError if there is no room.
func keepChunk(b *memory.Buffer, requestID string, rest []byte) error {
	return b.Append(appendChunk(make([]byte, 0, len(dataPrefix)+len(idField)+len(requestID)+len(rest)+len("\n\n")), requestID, rest))
}

// usageChunk is the last chunk of a stream in OpenAI's format, with the usage and no choices.
type usageChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usageTotals        `json:"usage"`
}

// usageTotals is OpenAI's usage with the sum of prompt and completion tokens.
type usageTotals struct {
	engineUsage
	TotalTokens int64 `json:"total_tokens"` // OpenAI's format
}

// usageEvent returns the event with the request's usage.
func (p *streamProxy) usageEvent() []byte {
	u := usageChunk{
		ID: p.job.request.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: p.job.decision.Version,
		Choices: []completionChoice{},
		Usage:   usageTotals{engineUsage: *p.usage, TotalTokens: p.usage.PromptTokens + p.usage.CompletionTokens},
	}
	b, err := json.Marshal(u)
	if err != nil {
		return nil
	}
	return append(append(bytes.Clone(dataPrefix), b...), "\n\n"...)
}

// unescapeJSON returns the text of JSON-escaped content, or an empty text if the content isn't valid.
func unescapeJSON(b []byte) string {
	var t string
	if err := json.Unmarshal(append(append([]byte{'"'}, b...), '"'), &t); err != nil {
		return ""
	}
	return t
}
