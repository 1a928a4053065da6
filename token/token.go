// Package token signs session tokens, which carry a session's version so that any host can keep to it
// without shared state.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
)

// ErrInvalid is returned for a token that no valid key has signed.
var ErrInvalid = errors.New("the session token isn't valid; open a new session by sending none")

// Session is the content of a token.
type Session struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Version  string `json:"version"`
}

// Signer signs and checks tokens. Keys[0] signs; all keys check, so that keys can rotate.
type Signer struct{ keys [][]byte }

// NewSigner returns a signer; there must be at least one key.
func NewSigner(keys []string) Signer {
	var s Signer
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}
	return s
}

func mac(key []byte, payload string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(payload))
	return h.Sum(nil)
}

// Sign returns the token of a session.
func (s Signer) Sign(session Session) (string, error) {
	b, err := json.Marshal(session)
	if err != nil {
		return "", err
	}
	p := base64.RawURLEncoding.EncodeToString(b)
	return p + "." + base64.RawURLEncoding.EncodeToString(mac(s.keys[0], p)), nil
}

// Verify returns the session of a token, or ErrInvalid.
func (s Signer) Verify(token string) (Session, error) {
	p, g, ok := strings.Cut(token, ".")
	b, err := base64.RawURLEncoding.DecodeString(g)
	if !ok || err != nil {
		return Session{}, ErrInvalid
	}
	for _, k := range s.keys {
		if hmac.Equal(b, mac(k, p)) {
			return decode(p)
		}
	}
	return Session{}, ErrInvalid
}

func decode(payload string) (Session, error) {
	var r Session
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil || json.Unmarshal(b, &r) != nil {
		return Session{}, ErrInvalid
	}
	return r, nil
}
