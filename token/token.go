// Package token signs and verifies session tokens. A token carries the model version of its session, so that
// every host can route the session's requests to that version without shared state.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
)

// ErrInvalid is returned for a token that is malformed or not signed with one of the signer's keys.
var ErrInvalid = errors.New("the session token isn't valid; open a new session by sending none")

// Session is the payload of a token.
type Session struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Version  string `json:"version"`
}

// Signer signs tokens with the first of its keys, and verifies them with all keys, so that keys can be rotated.
type Signer struct{ keys [][]byte }

// NewSigner returns a signer with the given keys, of which there must be at least one.
func NewSigner(keys []string) Signer {
	var s Signer
	for _, k := range keys {
		s.keys = append(s.keys, []byte(k))
	}
	return s
}

// mac returns the HMAC-SHA256 of payload.
func mac(key []byte, payload string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(payload))
	return h.Sum(nil)
}

// Sign returns the token of a session: the base64url payload and its HMAC, separated by a period.
func (s Signer) Sign(session Session) (string, error) {
	b, err := json.Marshal(session)
	if err != nil {
		return "", err
	}
	p := base64.RawURLEncoding.EncodeToString(b)
	return p + "." + base64.RawURLEncoding.EncodeToString(mac(s.keys[0], p)), nil
}

// Verify returns the session in a token, or ErrInvalid.
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

// decode returns the session in a base64url payload, or ErrInvalid.
func decode(payload string) (Session, error) {
	var r Session
	b, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil || json.Unmarshal(b, &r) != nil {
		return Session{}, ErrInvalid
	}
	return r, nil
}
