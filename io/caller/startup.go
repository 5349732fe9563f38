package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
)

const (
	// maxNegotiations is the number of requests that may precede a start-up
	// message: one for GSS encryption and one for TLS.
	maxNegotiations = 2

	// maxStartupMessageSize bounds messages, in bytes, until authentication has
	// ended.
	maxStartupMessageSize = 8 << 10
)

// errCancelRequest ends the start-up of a connection that sent a cancel request.
var errCancelRequest = errors.New("cancel request")

// startup handles a caller's connection until its session starts.
type startup struct {
	stream
	server  *Server
	rawConn *deadlineConn
	backend *pgproto3.Backend
	message *pgproto3.StartupMessage
}

func newStartup(server *Server, conn net.Conn) *startup {
	rawConn := &deadlineConn{Conn: conn, writeTimeout: server.config.WriteTimeout}
	c := &startup{server: server, rawConn: rawConn}
	c.setConn(rawConn)
	return c
}

func (c *startup) setConn(conn net.Conn) {
	c.conn = conn
	c.backend = pgproto3.NewBackend(conn, conn)
	c.backend.SetMaxBodyLen(maxStartupMessageSize)
}

// run negotiates encryption, authenticates the caller and returns the new
// session.
func (c *startup) run(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.server.config.StartupTimeout)
	defer cancel()
	if err := c.rawConn.SetDeadline(time.Now().Add(c.server.config.StartupTimeout)); err != nil {
		return nil, err
	}
	if err := c.negotiate(ctx); err != nil {
		return nil, err
	}
	startupStatements, refusal := c.parseParameters()
	if refusal != nil {
		return nil, c.reject(refusal)
	}
	identity, err := c.identify(ctx)
	if err != nil {
		return nil, err
	}
	s := newSession(c, identity, startupStatements)
	if err := c.server.register(s); err != nil {
		return nil, c.reject(err)
	}
	c.sendStartupAnswer(s)
	if err := c.rawConn.SetDeadline(time.Time{}); err != nil {
		c.setError(err)
	}
	s.stream = c.stream
	return s, c.err
}

// negotiate answers GSS and TLS requests until it receives the start-up message.
// Data sent in plain text after a TLS request is never read as part of the
// session, because startTLS creates a new reader.
func (c *startup) negotiate(ctx context.Context) error {
	for range maxNegotiations + 1 {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			c.message = m
			return c.checkTLS()
		case *pgproto3.CancelRequest:
			c.server.handleCancelRequest(ctx, m)
			return errCancelRequest
		case *pgproto3.SSLRequest:
			if err := c.startTLS(ctx); err != nil {
				return err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return err
			}
		}
	}
	return errors.New("too many negotiation requests")
}

func (c *startup) startTLS(ctx context.Context) error {
	if _, encrypted := c.conn.(*tls.Conn); encrypted || c.server.config.TLS == nil {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.rawConn, c.server.config.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	c.setConn(conn)
	return nil
}

func (c *startup) checkTLS() error {
	if _, encrypted := c.conn.(*tls.Conn); c.server.config.RequireTLS && !encrypted {
		return c.reject(refuse(invalidAuthorization, "the connection must use TLS"))
	}
	return nil
}

// parseParameters returns, in a stable order, the statements that apply the
// start-up parameters that differ from the server's. A session with such
// parameters keeps its connection, because they are state of the connection.
func (c *startup) parseParameters() (statements []string, refusal *outcome.Error) {
	var unknown []string
	for name, value := range c.message.Parameters {
		switch lower := strings.ToLower(name); {
		case lower == "user", lower == "database", lower == "application_name", lower == "extra_float_digits":
		case lower == "client_encoding":
			if !slices.Contains([]string{"utf8", "utf-8", "unicode"}, strings.Trim(strings.ToLower(value), "'")) {
				return nil, refuse(featureNotSupported, "client_encoding must be UTF8")
			}
		case lower == "datestyle" && strings.EqualFold(value, "ISO"):
		case value != "" && strings.EqualFold(value, c.server.parameter(lower)):
		case lower == "options" && value == "":
		case lower == "options", lower == "replication":
			return nil, refuse(featureNotSupported, fmt.Sprintf("start-up parameter %q is not supported", name))
		case strings.HasPrefix(lower, "_pq_."):
			unknown = append(unknown, name)
		default:
			statements = append(statements, "SET "+quoteIdentifier(lower)+" TO "+quoteLiteral(value))
		}
	}
	slices.Sort(statements)
	if len(unknown) > 0 || c.message.ProtocolVersion != pgproto3.ProtocolVersion30 {
		slices.Sort(unknown)
		c.send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
	}
	return statements, nil
}

// identify authenticates the caller. The reason for a failure is not sent, so
// that a caller cannot find out which users exist.
func (c *startup) identify(ctx context.Context) (Identity, error) {
	user := c.message.Parameters["user"]
	database := c.message.Parameters["database"]
	if database == "" {
		database = user
	}
	identity, err := c.server.host.Authenticate(ctx, user, database)
	var refused *outcome.Error
	switch {
	case errors.As(err, &refused):
		return identity, c.reject(refused)
	case err != nil:
		identity.Verifier = c.server.decoyVerifier(user)
		err = errors.Join(err, c.authenticate(identity.Verifier))
		return identity, errors.Join(err, c.reject(refuse(invalidPassword, "authentication failed")))
	}
	if identity.Verifier != "" {
		if err := c.authenticate(identity.Verifier); err != nil {
			return identity, errors.Join(err, c.reject(refuse(invalidPassword, "authentication failed")))
		}
	}
	if identity.ConfirmationTimeout == 0 {
		identity.ConfirmationTimeout = DefaultConfirmationTimeout
	}
	return identity, nil
}

// sendStartupAnswer sends the messages that end a successful start-up.
func (c *startup) sendStartupAnswer(s *session) {
	c.send(&pgproto3.AuthenticationOk{})
	names := make([]string, 0, len(c.server.config.Parameters))
	for name := range c.server.config.Parameters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.send(&pgproto3.ParameterStatus{Name: name, Value: c.server.config.Parameters[name]})
	}
	c.send(&pgproto3.ParameterStatus{Name: "session_authorization", Value: c.message.Parameters["user"]})
	c.send(&pgproto3.ParameterStatus{Name: "application_name", Value: c.message.Parameters["application_name"]})
	c.send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secret})
	c.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	c.flush()
	c.backend.SetMaxBodyLen(c.server.config.MaxMessageSize)
}

// reject sends err as a FATAL error and returns it.
func (c *startup) reject(err *outcome.Error) error {
	c.send(errorResponse("FATAL", err))
	c.flush()
	return err
}

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// quoteIdentifier returns s as a quoted SQL identifier, which may be qualified
// with dots.
func quoteIdentifier(s string) string {
	parts := strings.Split(s, ".")
	for i, part := range parts {
		parts[i] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}
