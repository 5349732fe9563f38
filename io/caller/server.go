package caller

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"basilmill/core/outcome"
)

// Defaults of Config.
const (
	DefaultStartupTimeout = 10 * time.Second
	// DefaultWriteTimeout is long enough for callers on slow links to read part
	// of a full buffer.
	DefaultWriteTimeout   = 30 * time.Second
	DefaultMaxMessageSize = 16 << 20
	// DefaultMaxSessions is the number of sessions that the 16-bit session
	// number in cancel keys can identify.
	DefaultMaxSessions = 1<<16 - 1
	// DefaultMaxStarting allows 100 new callers a second if each needs the whole
	// DefaultStartupTimeout.
	DefaultMaxStarting         = 1000
	DefaultConfirmationTimeout = 5 * time.Second
	// DefaultKeyRetryTimeout is several times the 2 s for which a failover
	// interrupts writes.
	DefaultKeyRetryTimeout = 8 * time.Second
)

// Config configures a Server. Zero values select the defaults; a zero IdleTimeout
// or TransactionIdleTimeout disables that timeout.
type Config struct {
	// TLS is nil if the server does not offer TLS.
	TLS        *tls.Config
	RequireTLS bool
	// StartupTimeout bounds negotiation and authentication together, and the
	// handling of a cancel request.
	StartupTimeout time.Duration
	// WriteTimeout bounds each write to a caller. It ends sessions whose caller
	// does not read.
	WriteTimeout time.Duration
	// IdleTimeout ends sessions that are idle outside a transaction.
	IdleTimeout time.Duration
	// TransactionIdleTimeout ends sessions that are idle within a transaction or
	// an unfinished batch, because they occupy a connection.
	TransactionIdleTimeout time.Duration
	// MaxMessageSize bounds, in bytes, each of these: one message of a caller,
	// one batch of the extended protocol, and the prepared statements of one
	// session.
	MaxMessageSize int
	MaxSessions    int
	// MaxStarting bounds the connections whose caller has not been authenticated. Beyond
	// it, the oldest one is closed.
	MaxStarting int
	// KeyRetryTimeout bounds the retries of a request with a request key, for
	// example after an unknown outcome.
	KeyRetryTimeout time.Duration
	// HostKey identifies this host in cancel keys, so that another host that
	// receives a cancel request can forward it.
	HostKey uint16
	// ForwardCancel, if set, is called for cancel requests with the key of
	// another host.
	ForwardCancel func(ctx context.Context, hostKey uint16, request pgproto3.CancelRequest)
	// Parameters are the parameter statuses sent to callers at start-up. They
	// override those of DefaultParameters.
	Parameters map[string]string
}

// DefaultParameters returns the parameter statuses of a PostgreSQL server with
// default settings.
func DefaultParameters() map[string]string {
	return map[string]string{
		"server_version":              "17.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"IntervalStyle":               "postgres",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
		"is_superuser":                "off",
	}
}

func (c Config) withDefaults() Config {
	c.StartupTimeout = cmp.Or(c.StartupTimeout, DefaultStartupTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.MaxMessageSize = cmp.Or(c.MaxMessageSize, DefaultMaxMessageSize)
	c.MaxSessions = min(cmp.Or(c.MaxSessions, DefaultMaxSessions), DefaultMaxSessions)
	c.MaxStarting = cmp.Or(c.MaxStarting, DefaultMaxStarting)
	c.KeyRetryTimeout = cmp.Or(c.KeyRetryTimeout, DefaultKeyRetryTimeout)
	parameters := DefaultParameters()
	for name, value := range c.Parameters {
		parameters[name] = value
	}
	c.Parameters = parameters
	return c
}

// Server accepts connections from callers and runs their sessions.
type Server struct {
	host   Host
	config Config

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]context.CancelFunc
	// starting is the subset of conns that have no session yet, with when they were
	// accepted.
	starting          map[net.Conn]time.Time
	sessions          map[uint32]*session
	lastSessionNumber uint16
	// decoyKey is the key that derives the salts for unknown users.
	decoyKey []byte
	handlers sync.WaitGroup
}

// New returns a server that uses the host for routing and authentication.
func New(host Host, config Config) *Server {
	return &Server{
		host:      host,
		config:    config.withDefaults(),
		listeners: map[net.Listener]struct{}{},
		conns:     map[net.Conn]context.CancelFunc{},
		starting:  map[net.Conn]time.Time{},
		sessions:  map[uint32]*session{},
		decoyKey:  []byte(rand.Text()),
	}
}

// acceptBackoff is the pause after a temporary failure to accept a connection,
// such as a lack of file descriptors.
const acceptBackoff = 50 * time.Millisecond

// Serve accepts callers on the listener. It returns nil after Shutdown. When ctx
// ends, it closes all connections at once and returns the error of ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = eris.Wrap(err, "caller: serve") }()
	if !s.addListener(listener) {
		return listener.Close()
	}
	defer s.removeListener(listener)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.startConnection(ctx, conn)
		case s.isDraining():
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

// addListener reports whether the server accepts connections, that is, whether
// it is not draining.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) startConnection(ctx context.Context, conn net.Conn) {
	closed := s.addConnection(ctx, conn)
	if closed != nil {
		s.host.Observe(StartingClosed{Peer: closed.RemoteAddr().String()})
		_ = closed.Close() // nothing is left to send
	}
}

// addConnection starts to handle a connection. It returns the one that has been without a
// session for the longest time if there are too many, to be closed.
func (s *Server) addConnection(ctx context.Context, conn net.Conn) (excess net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		_ = conn.Close()
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	s.conns[conn], s.starting[conn] = cancel, time.Now()
	s.handlers.Go(func() {
		defer cancel()
		s.handle(ctx, conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	})
	if len(s.starting) <= s.config.MaxStarting {
		return nil
	}
	for other, accepted := range s.starting {
		if excess == nil || accepted.Before(s.starting[excess]) {
			excess = other
		}
	}
	delete(s.starting, excess)
	return excess
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing is left to send
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session, err := newStartup(s, conn).run(ctx)
	s.removeStarting(conn)
	if session == nil {
		return
	}
	defer s.unregister(session)
	if err != nil {
		return
	}
	s.host.Observe(SessionStarted{Account: session.identity.Account})
	session.run(ctx)
	s.host.Observe(SessionEnded{Account: session.identity.Account})
}

func (s *Server) removeStarting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// parameter returns the value of the parameter status with the given lower-case
// name.
func (s *Server) parameter(lower string) string {
	for name, value := range s.config.Parameters {
		if strings.ToLower(name) == lower {
			return value
		}
	}
	return ""
}

// register adds the session and assigns its cancel key: a process ID made of the
// host key and a session number unique on this host, and a random secret.
func (s *Server) register(session *session) *outcome.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return refuse(outcome.CannotConnectNow, "the host is draining")
	}
	if len(s.sessions) >= s.config.MaxSessions {
		return outcome.Overloaded("the host has no room for another session")
	}
	for {
		s.lastSessionNumber++
		session.processID = uint32(s.config.HostKey)<<16 | uint32(s.lastSessionNumber)
		if _, taken := s.sessions[session.processID]; !taken {
			break
		}
	}
	session.secret = make([]byte, 4)
	_, _ = rand.Read(session.secret) // never fails
	s.sessions[session.processID] = session
	// From now on the caller may send requests, so Shutdown must not close the
	// connection while one runs.
	delete(s.starting, session.rawConn.Conn)
	return nil
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
}

// handleCancelRequest cancels the statement if the session is on this host,
// otherwise it forwards the request. A cancel request has no answer.
func (s *Server) handleCancelRequest(ctx context.Context, request *pgproto3.CancelRequest) {
	if hostKey := uint16(request.ProcessID >> 16); hostKey != s.config.HostKey {
		if s.config.ForwardCancel != nil {
			s.config.ForwardCancel(ctx, hostKey, *request)
		}
		return
	}
	s.Cancel(ctx, request.ProcessID, request.SecretKey)
}

// Cancel cancels the running statement of a session on this host. It also serves
// cancel requests that another host forwarded.
func (s *Server) Cancel(ctx context.Context, processID uint32, secret []byte) {
	s.mu.Lock()
	session := s.sessions[processID]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.config.StartupTimeout)
	defer cancel()
	if session != nil && subtle.ConstantTimeCompare(session.secret, secret) == 1 {
		session.cancelRunning(ctx)
	}
}

// Shutdown stops accepting callers. It ends each session with error 57P01 once
// the session is outside a request and a transaction, and returns when no
// session is left. If ctx ends first, it closes the remaining connections and
// returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "caller: shutdown") }()
	s.drain()
	done := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	for _, cancel := range s.conns {
		cancel()
	}
	s.mu.Unlock()
	return ctx.Err()
}

// drain closes the listeners and the connections without a session, and
// interrupts idle sessions.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.starting {
		s.conns[conn]()
	}
	for _, session := range s.sessions {
		session.interruptIdle()
	}
}
