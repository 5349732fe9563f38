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

const mechanism = "SCRAM-SHA-256"

// parseVerifier reads PostgreSQL's format of a verifier:
// SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>.
func parseVerifier(verifier string) (credentials scram.StoredCredentials, err error) {
	defer func() { err = eris.Wrap(err, "caller: SCRAM verifier") }()
	fields := strings.FieldsFunc(verifier, func(r rune) bool { return r == '$' || r == ':' })
	if len(fields) != 5 || fields[0] != mechanism {
		return credentials, eris.New("not in the format of PostgreSQL")
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

// decoyIterations is PostgreSQL's default, as verifiers usually have it.
const decoyIterations = 4096

// decoy returns a verifier that no password matches, with a salt that stays
// the same for a user, so that an unknown user cannot be told from a known one.
func (s *Server) decoy(user string) string {
	mac := hmac.New(sha256.New, s.decoyKey)
	mac.Write([]byte(user))
	salt := base64.StdEncoding.EncodeToString(mac.Sum(nil)[:16])
	key := base64.StdEncoding.EncodeToString([]byte(rand.Text()))
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, decoyIterations, salt, key, key)
}

// authenticate runs the SASL exchange. The user name within it is ignored, as
// PostgreSQL does, in favour of the one in the start-up message.
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
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	first, err := receiveAs[*pgproto3.SASLInitialResponse](c, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	if first.AuthMechanism != mechanism {
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
		return errors.New("proof is not valid")
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// receiveAs flushes and receives the answer to an authentication request.
func receiveAs[T pgproto3.FrontendMessage](c *startup, kind uint32) (T, error) {
	var none T
	if c.flush(); c.err != nil {
		return none, c.err
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return none, err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return none, err
	}
	answer, ok := m.(T)
	if !ok {
		return none, eris.Errorf("unexpected message %T during authentication", m)
	}
	return answer, nil
}
