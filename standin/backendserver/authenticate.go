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

// authenticate checks the client with SCRAM-SHA-256, unless the server trusts
// every client.
func (x *session) authenticate(user string) error {
	config := x.server.config
	if config.Password == "" {
		return nil
	}
	conversation, err := newConversation(config.User, config.Password)
	if err != nil {
		return err
	}
	x.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := x.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	answer, err := conversation.Step(first)
	if err != nil {
		return errPassword(user)
	}
	x.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	final, err := x.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	answer, err = conversation.Step(final)
	if err != nil || config.User != "" && user != config.User {
		return errPassword(user)
	}
	x.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func errPassword(user string) error {
	return sql.Errorf(sql.InvalidPassword, "password authentication failed for user %q", user)
}

// newConversation starts an exchange that ignores the user name in SCRAM: the
// one of the start-up message counts.
func newConversation(user, password string) (*scram.ServerConversation, error) {
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

// receiveSASL sends the pending request and returns the client's answer.
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
