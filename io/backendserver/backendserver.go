// Package backendserver owns the client side of the PostgreSQL protocol. It opens
// connections to backend servers, pools them for the requests of callers, calls
// the functions of schema basilmill, and pings servers.
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

// Target identifies the backend server and database to connect to, and the client
// account for which the connection is used.
type Target struct {
	Group    group.ID
	Server   group.ServerID
	Address  netip.AddrPort
	Database string
	Account  account.ID
}

// Conversation is the exclusive use of one connection to a backend server, from
// Acquire until Release. Errors are *outcome.Error. One goroutine may call Send
// while another calls Receive; Cancel may be called from any goroutine. The
// context last passed to Send or Receive stays in effect after the call returns: if
// it ends before Release, the conversation fails.
type Conversation interface {
	// Send sends the messages in one flush. It copies their contents.
	Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error
	// Receive returns the next message, which is valid until the next call or Release.
	// After an error nothing more can be sent or received. An ErrorResponse of
	// severity FATAL or PANIC is returned as an error.
	Receive(ctx context.Context) (pgproto3.BackendMessage, error)
	// Cancel asks the server to cancel the running statement.
	Cancel(ctx context.Context) error
	// Release ends the conversation. The connection is reused only if reusable
	// is set and the server is ready for a query outside a transaction.
	Release(reusable bool)
}

// Connector opens conversations.
type Connector interface {
	// Acquire opens a conversation. An error means that nothing was sent.
	Acquire(ctx context.Context, target Target) (Conversation, error)
}

// DefaultConnectTimeout bounds opening a connection. It is several times the 30 ms
// that the slowest opening takes in current deployments plus the retransmission
// of a lost packet.
const DefaultConnectTimeout = 5 * time.Second

// Dialer opens connections to backend servers.
type Dialer struct {
	// DialFunc, if set, replaces the TCP dialer.
	DialFunc pgconn.DialFunc
	User     string
	Password string
	// TLS is nil if connections do not use TLS.
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
// variables or the user's configuration files.
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

// ErrServerFull is wrapped in the error of Acquire if the backend server rejected
// a connection because it is at its connection limit. The request has not run.
var ErrServerFull = errors.New("the backend server is at its connection limit")

// openError converts the error of opening a connection. Nothing was sent, so the
// outcome is always NotRun.
func openError(err error) error {
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

// lossError returns the error for the loss of a connection. The outcome is NotRun
// if nothing was sent, otherwise Unknown.
func lossError(sent bool, cause error) error {
	if !sent {
		return outcome.Unavailable("the connection was lost before anything was sent", cause)
	}
	return outcome.Unresolved("the connection was lost before the answer was complete", cause)
}

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string {
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

func formatInt[T ~int64](v T) string { return strconv.FormatInt(int64(v), 10) }
