package account

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"regexp"
	"strconv"
)

// Verifier is a SCRAM-SHA-256 password verifier in the format of PostgreSQL:
// SCRAM-SHA-256$<iterations>:<salt>$<StoredKey>:<ServerKey>, with the salt and
// the keys in base64.
type Verifier string

// maskedVerifier replaces a verifier in messages, which may be logged.
const maskedVerifier = "SCRAM-SHA-256$…"

// Credentials holds the parts of a SCRAM-SHA-256 verifier.
type Credentials struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// Bounds of the iteration count. RFC 7677 requires at least 4096. The upper
// bound limits the cost of authentication for callers.
const (
	minIterations = 4096
	maxIterations = 10_000_000
)

var verifierPattern = regexp.MustCompile(`^SCRAM-SHA-256\$([0-9]+):([^$:]+)\$([^$:]+):([^$:]+)$`)

// Errors of Parse. They do not contain the verifier.
var (
	errVerifierFormat     = errors.New("want SCRAM-SHA-256$<iterations>:<salt>$<StoredKey>:<ServerKey>")
	errVerifierIterations = errors.New("the iteration count is not between 4096 and 10000000")
	errVerifierKeys       = errors.New("salt and keys must be base64 and the keys 32 bytes long")
)

// Parse returns the parts of the verifier.
func (v Verifier) Parse() (Credentials, error) {
	parts := verifierPattern.FindStringSubmatch(string(v))
	if parts == nil {
		return Credentials{}, errVerifierFormat
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < minIterations || iterations > maxIterations {
		return Credentials{}, errVerifierIterations
	}
	salt, saltErr := base64.StdEncoding.DecodeString(parts[2])
	storedKey, storedErr := base64.StdEncoding.DecodeString(parts[3])
	serverKey, serverErr := base64.StdEncoding.DecodeString(parts[4])
	if errors.Join(saltErr, storedErr, serverErr) != nil || len(storedKey) != sha256.Size || len(serverKey) != sha256.Size {
		return Credentials{}, errVerifierKeys
	}
	return Credentials{Iterations: iterations, Salt: salt, StoredKey: storedKey, ServerKey: serverKey}, nil
}
