// Package key generates callers' keys and computes their digests. The key itself
// is shown once to the operator and never stored.
package key

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("key")

// Format of a key: the prefix, the id and the secret, joined by dashes. The id
// and the secret are random bytes in base32.
const (
	idBytes     = 5
	secretBytes = 20
	keyPrefix   = "ck"
	// MaxBytes is the maximum length of a text that is checked as a key.
	MaxBytes = 256
)

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// New generates a key and returns it with its public id.
func New() (text, id string, err error) {
	raw := make([]byte, idBytes+secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", Class.Wrap(err)
	}
	id = strings.ToLower(encoding.EncodeToString(raw[:idBytes]))
	secret := strings.ToLower(encoding.EncodeToString(raw[idBytes:]))
	return keyPrefix + "-" + id + "-" + secret, id, nil
}

// Digest returns the HMAC-SHA256 of a key in hexadecimal.
func Digest(secret []byte, text string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(text))
	return hex.EncodeToString(mac.Sum(nil))
}

// Parse accepts a complete key or a key's id. It returns the id and, for a
// complete key, its digest.
func Parse(secret []byte, text string) (id, digest string, err error) {
	parts := strings.Split(text, "-")
	if len(parts) == 1 && text != "" {
		return text, "", nil
	}
	if len(parts) != 3 || parts[0] != keyPrefix {
		return "", "", Class.New("%q is neither a key nor a key id", text[:min(len(text), 8)])
	}
	return parts[1], Digest(secret, text), nil
}
