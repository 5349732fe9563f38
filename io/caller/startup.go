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
	// maxNegotiations bounds the requests that may precede a start-up message:
	// GSS and TLS, once each.
	maxNegotiations = 2

	// maxPassword bounds messages before authentication has ended.
	maxPassword = 8 << 10
)

// errCancelRequest ends a connection that carried a cancel request.
var errCancelRequest = errors.New("cancel request")

// startup is a connection from a caller before its session starts.
type startup struct {
	stream
	server  *Server
	counted *deadlineConn
	backend *pgproto3.Backend
	message *pgproto3.StartupMessage
}

func newStartup(server *Server, conn net.Conn) *startup {
	counted := &deadlineConn{Conn: conn, writeTimeout: server.config.WriteTimeout}
	s := &startup{server: server, counted: counted}
	s.use(counted)
	return s
}

func (c *startup) use(conn net.Conn) {
	c.conn = conn
	c.backend = pgproto3.NewBackend(conn, conn)
	c.backend.SetMaxBodyLen(maxPassword)
}

// run negotiates, authenticates and returns the new session.
func (c *startup) run(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, c.server.config.StartupTimeout)
	defer cancel()
	if err := c.counted.SetDeadline(time.Now().Add(c.server.config.StartupTimeout)); err != nil {
		return nil, err
	}
	if err := c.negotiate(ctx); err != nil {
		return nil, err
	}
	settings, refusal := c.parameters()
	if refusal != nil {
		return nil, c.reject(refusal)
	}
	identity, err := c.identify(ctx)
	if err != nil {
		return nil, err
	}
	s := newSession(c, identity, settings)
	if err := c.server.register(s); err != nil {
		return nil, c.reject(err)
	}
	c.welcome(s)
	if err := c.counted.SetDeadline(time.Time{}); err != nil {
		c.fail(err)
	}
	s.stream = c.stream
	return s, c.err
}

// negotiate answers GSS and TLS requests until the start-up message. Bytes
// that a caller sent in plain text behind a TLS request are never read as part
// of the session, because TLS gets a new reader.
func (c *startup) negotiate(ctx context.Context) error {
	for range maxNegotiations + 1 {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			c.message = m
			return c.requireTLS()
		case *pgproto3.CancelRequest:
			c.server.cancel(ctx, m)
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
	conn := tls.Server(c.counted, c.server.config.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	c.use(conn)
	return nil
}

func (c *startup) requireTLS() error {
	if _, encrypted := c.conn.(*tls.Conn); c.server.config.RequireTLS && !encrypted {
		return c.reject(refuse(invalidAuthorization, "the connection must use TLS"))
	}
	return nil
}

// parameters returns the statements that apply the start-up parameters which
// change how answers look, in a stable order. A session with such parameters
// keeps a connection of its own, because they are state of the connection.
func (c *startup) parameters() (settings []string, refusal *outcome.Error) {
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
			settings = append(settings, "SET "+quoteName(lower)+" TO "+quote(value))
		}
	}
	slices.Sort(settings)
	if len(unknown) > 0 || c.message.ProtocolVersion != pgproto3.ProtocolVersion30 {
		slices.Sort(unknown)
		c.send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
	}
	return settings, nil
}

// identify authenticates the caller. The reason of a failure is not sent, so
// that names cannot be probed.
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
		identity.Verifier = c.server.decoy(user)
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

func (c *startup) welcome(s *session) {
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

// reject sends a FATAL error.
func (c *startup) reject(err *outcome.Error) error {
	c.send(response("FATAL", err))
	c.flush()
	return err
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func quoteName(s string) string {
	parts := strings.Split(s, ".")
	for i, part := range parts {
		parts[i] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}
