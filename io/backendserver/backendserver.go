// Package backendserver owns the client side of the PostgreSQL protocol
// towards backend servers: opening connections, the functions of schema
// basilmill, and conversations for traffic on pooled connections.
package backendserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
)

// Target names where a conversation takes place and for whom.
type Target struct {
	Group    group.ID
	Server   group.ServerID
	Address  netip.AddrPort
	Database string
	Account  account.ID
}

// Conversation is the exclusive use of one connection to a backend server.
// Errors are *outcome.Error. Send and Receive may be called by different
// goroutines, each by one at a time; Cancel may be called from any. A context
// that was given to Send or Receive ends the conversation when it ends, until
// another one is given or the conversation is released.
type Conversation interface {
	// Send sends the messages in one flush. Their contents are copied.
	Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error
	// Receive returns the next message, valid until the next call. An error
	// ends the conversation: nothing more can be sent or received. A FATAL
	// error of the server is returned as an error.
	Receive(ctx context.Context) (pgproto3.BackendMessage, error)
	// Cancel asks the server to cancel the running statement.
	Cancel(ctx context.Context) error
	// Release ends the conversation. The connection is used again only when
	// reusable is set and the server is ready, outside any transaction.
	Release(reusable bool)
}

// Connector opens conversations.
type Connector interface {
	// Acquire returns a conversation. Every error means that nothing was sent.
	Acquire(ctx context.Context, target Target) (Conversation, error)
}

// DefaultConnectTimeout bounds opening a connection. It is several times the
// slowest opening of the current deployments (30 ms) plus a lost packet.
const DefaultConnectTimeout = 5 * time.Second

// Dialer opens connections to backend servers.
type Dialer struct {
	// DialFunc replaces the TCP dialer if set.
	DialFunc pgconn.DialFunc
	User     string
	Password string
	// TLS is nil for connections without TLS.
	TLS *tls.Config
	// ConnectTimeout is DefaultConnectTimeout if zero.
	ConnectTimeout time.Duration
}

func (d Dialer) open(ctx context.Context, address netip.AddrPort, database string) (*pgconn.PgConn, error) {
	config, err := d.config(address, database)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, config)
}

// config sets every field that pgconn would otherwise take from environment
// variables and files of the user.
func (d Dialer) config(address netip.AddrPort, database string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable passfile='' servicefile=''")
	if err != nil {
		return nil, err
	}
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.Database = database
	config.User = d.User
	config.Password = d.Password
	config.TLSConfig = d.TLS
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": "basilmill"}
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	config.ConnectTimeout = d.ConnectTimeout
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = DefaultConnectTimeout
	}
	if d.DialFunc != nil {
		config.DialFunc = d.DialFunc
	}
	return config, nil
}

// ErrServerFull is in the chain of the refusal of a connection by a backend
// server at its limit. The request has not run.
var ErrServerFull = errors.New("the backend server is at its connection limit")

// refused converts a failure to open a connection. Nothing was sent, so the
// outcome is NotRun whatever the cause.
func refused(err error) error {
	if err == nil {
		return nil
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == string(outcome.TooManyConnections) {
		return &outcome.Error{
			Outcome: outcome.NotRun, SQLState: outcome.TooManyConnections,
			Message: "the backend server has no free connection", Cause: errors.Join(ErrServerFull, err),
		}
	}
	return outcome.Unavailable("the backend server does not accept connections", err)
}

// lost converts the loss of a connection.
func lost(sent bool, cause error) error {
	if !sent {
		return outcome.Unavailable("the connection was lost before anything was sent", cause)
	}
	return outcome.Unresolved("the connection was lost before the answer was complete", cause)
}

// quote returns a string literal.
func quote(s string) string {
	quoted := make([]byte, 0, len(s)+2)
	quoted = append(quoted, '\'')
	for i := range len(s) {
		if s[i] == '\'' {
			quoted = append(quoted, '\'')
		}
		quoted = append(quoted, s[i])
	}
	return string(append(quoted, '\''))
}

func decimal[T ~int64](v T) string { return strconv.FormatInt(int64(v), 10) }
