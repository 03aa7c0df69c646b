// Package key makes callers' keys and their digests. A key itself is shown
// once to the operator and stored nowhere.
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

// Sizes of a key's parts, in bytes.
const (
	idBytes     = 5
	secretBytes = 20
	partPrefix  = "ck"
	// MaxBytes is the longest text that is tried as a key.
	MaxBytes = 256
)

var encoding = base32.StdEncoding.WithPadding(base32.NoPadding)

// New returns a fresh key and its public id.
func New() (text, id string, err error) {
	raw := make([]byte, idBytes+secretBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", "", Class.Wrap(err)
	}
	id = strings.ToLower(encoding.EncodeToString(raw[:idBytes]))
	secret := strings.ToLower(encoding.EncodeToString(raw[idBytes:]))
	return partPrefix + "-" + id + "-" + secret, id, nil
}

// Digest returns the keyed hash of a key in hexadecimal.
func Digest(secret []byte, text string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(text))
	return hex.EncodeToString(mac.Sum(nil))
}

// Parse returns the id of a key and, where the whole key was given and not
// only its id, its digest.
func Parse(secret []byte, text string) (id, digest string, err error) {
	parts := strings.Split(text, "-")
	if len(parts) == 1 && text != "" {
		return text, "", nil
	}
	if len(parts) != 3 || parts[0] != partPrefix {
		return "", "", Class.New("%q is neither a key nor a key's id", text[:min(len(text), 8)])
	}
	return parts[1], Digest(secret, text), nil
}
