package caller

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/jackc/pgx/v5/pgproto3"
)

const scramMechanism = "SCRAM-SHA-256"

// parseVerifier parses a verifier in PostgreSQL's format:
// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>.
func parseVerifier(verifier string) (credentials scram.StoredCredentials, err error) {
	defer func() { err = eris.Wrap(err, "caller: SCRAM verifier") }()
	fields := strings.FieldsFunc(verifier, func(r rune) bool { return r == '$' || r == ':' })
	if len(fields) != 5 || fields[0] != scramMechanism {
		return credentials, eris.New("not in PostgreSQL's format")
	}
	if credentials.Iters, err = strconv.Atoi(fields[1]); err != nil {
		return credentials, err
	}
	var decoded [3][]byte
	for i := range decoded {
		if decoded[i], err = base64.StdEncoding.DecodeString(fields[2+i]); err != nil {
			return credentials, err
		}
	}
	credentials.Salt = string(decoded[0])
	credentials.StoredKey, credentials.ServerKey = decoded[1], decoded[2]
	return credentials, nil
}

// decoyIterations is PostgreSQL's default iteration count, which most real
// verifiers have.
const decoyIterations = 4096

// decoyVerifier returns a verifier that no password matches. Its salt is always
// the same for a user name, so that callers cannot distinguish unknown users
// from known ones.
func (s *Server) decoyVerifier(user string) string {
	mac := hmac.New(sha256.New, s.decoyKey)
	mac.Write([]byte(user))
	salt := base64.StdEncoding.EncodeToString(mac.Sum(nil)[:16])
	key := base64.StdEncoding.EncodeToString([]byte(rand.Text()))
	return fmt.Sprintf("%s$%d:%s$%s:%s", scramMechanism, decoyIterations, salt, key, key)
}

// authenticate runs the SASL exchange. Like PostgreSQL, it ignores the user name
// in the exchange and relies on the one in the start-up message.
func (c *startup) authenticate(verifier string) error {
	credentials, err := parseVerifier(verifier)
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := receiveAs[*pgproto3.SASLInitialResponse](c, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	if first.AuthMechanism != scramMechanism {
		return errors.New("unknown SASL mechanism")
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return err
	}
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := receiveAs[*pgproto3.SASLResponse](c, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(second.Data))
	if err != nil {
		return err
	}
	if !conversation.Valid() {
		return errors.New("invalid client proof")
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// receiveAs flushes pending messages and receives the caller's answer to an
// authentication request.
func receiveAs[T pgproto3.FrontendMessage](c *startup, authType uint32) (T, error) {
	var zero T
	if c.flush(); c.err != nil {
		return zero, c.err
	}
	if err := c.backend.SetAuthType(authType); err != nil {
		return zero, err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return zero, err
	}
	answer, ok := m.(T)
	if !ok {
		return zero, eris.Errorf("unexpected message %T during authentication", m)
	}
	return answer, nil
}
