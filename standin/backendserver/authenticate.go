package backendserver

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"basilmill/standin/internal/sql"
)

const (
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSaltSize   = 16
)

// authenticate authenticates the client with SCRAM-SHA-256, unless the server
// has no password.
func (x *session) authenticate(user string) error {
	config := x.server.config
	if config.Password == "" {
		return nil
	}
	exchange, err := newSCRAMExchange(config.User, config.Password)
	if err != nil {
		return err
	}
	x.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := x.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	answer, err := exchange.Step(first)
	if err != nil {
		return errInvalidPassword(user)
	}
	x.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	final, err := x.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	answer, err = exchange.Step(final)
	if err != nil || config.User != "" && user != config.User {
		return errInvalidPassword(user)
	}
	x.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func errInvalidPassword(user string) error {
	return sql.Errorf(sql.InvalidPassword, "password authentication failed for user %q", user)
}

// newSCRAMExchange starts the server's side of a SCRAM exchange. The user name
// in the SCRAM messages is ignored, as in PostgreSQL: the one in the start-up
// message counts.
func newSCRAMExchange(user, password string) (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClientUnprepped(user, password, "")
	if err != nil {
		return nil, err
	}
	salt := make([]byte, scramSaltSize)
	if _, err := rand.Read(salt); err != nil {
		return nil, err
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}

// receiveSASL flushes the request that was sent last and returns the client's
// response.
func (x *session) receiveSASL(stage uint32) (string, error) {
	if err := x.backend.SetAuthType(stage); err != nil {
		return "", err
	}
	if err := x.backend.Flush(); err != nil {
		return "", err
	}
	message, err := x.backend.Receive()
	if err != nil {
		return "", err
	}
	switch m := message.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism == scramMechanism {
			return string(m.Data), nil
		}
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	}
	return "", sql.Errorf(sql.ProtocolViolation, "expected a SASL response")
}
