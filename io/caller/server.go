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
	// DefaultWriteTimeout ends sessions whose caller does not read. Callers on
	// slow links still make progress on a full buffer within this time.
	DefaultWriteTimeout   = 30 * time.Second
	DefaultMaxMessageSize = 16 << 20
	// DefaultMaxSessions is the number of sessions that cancel keys can name.
	DefaultMaxSessions         = 1<<16 - 1
	DefaultConfirmationTimeout = 5 * time.Second
	// DefaultKeyRetryTimeout is several times the failover gap of 2 s.
	DefaultKeyRetryTimeout = 8 * time.Second
)

// Config sets up a Server. Zero values select the defaults; a zero IdleTimeout
// or TransactionIdleTimeout means none.
type Config struct {
	// TLS is nil when the server offers no TLS.
	TLS        *tls.Config
	RequireTLS bool
	// StartupTimeout bounds negotiation and authentication together.
	StartupTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// IdleTimeout ends sessions without requests, outside transactions.
	IdleTimeout time.Duration
	// TransactionIdleTimeout ends sessions that wait within a transaction or
	// an unfinished batch, because they keep a connection.
	TransactionIdleTimeout time.Duration
	// MaxMessageSize bounds one message of a caller, one batch of the extended
	// protocol and the prepared statements of one session, each in bytes.
	MaxMessageSize int
	MaxSessions    int
	// KeyRetryTimeout bounds the retries of a keyed write with unknown outcome.
	KeyRetryTimeout time.Duration
	// HostKey is carried by cancel keys, so that another host can tell where
	// the session is.
	HostKey uint16
	// ForwardCancel, if set, receives cancel requests with another host key.
	ForwardCancel func(ctx context.Context, hostKey uint16, request pgproto3.CancelRequest)
	// Parameters are the parameter statuses that callers receive at start-up;
	// entries replace those of DefaultParameters.
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
	c.KeyRetryTimeout = cmp.Or(c.KeyRetryTimeout, DefaultKeyRetryTimeout)
	parameters := DefaultParameters()
	for name, value := range c.Parameters {
		parameters[name] = value
	}
	c.Parameters = parameters
	return c
}

// Server accepts callers.
type Server struct {
	host   Host
	config Config

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]context.CancelFunc
	// starting holds those of conns that have no session yet.
	starting map[net.Conn]context.CancelFunc
	sessions map[uint32]*session
	sequence uint16
	// decoyKey makes the salts that unknown users are shown.
	decoyKey []byte
	running  sync.WaitGroup
}

// New returns a server for the host.
func New(host Host, config Config) *Server {
	return &Server{
		host:      host,
		config:    config.withDefaults(),
		listeners: map[net.Listener]struct{}{},
		conns:     map[net.Conn]context.CancelFunc{},
		starting:  map[net.Conn]context.CancelFunc{},
		sessions:  map[uint32]*session{},
		decoyKey:  []byte(rand.Text()),
	}
}

// acceptDelay is the pause after a failure to accept, such as a lack of file
// descriptors, that may pass.
const acceptDelay = 50 * time.Millisecond

// Serve accepts callers until Shutdown, which makes it return nil, or until
// ctx ends, which also ends all its sessions at once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = eris.Wrap(err, "caller: serve") }()
	if !s.listen(listener) {
		return listener.Close()
	}
	defer s.unlisten(listener)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.start(ctx, conn)
		case s.isDraining():
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptDelay)
		}
	}
}

func (s *Server) listen(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) unlisten(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) start(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.conns[conn], s.starting[conn] = cancel, cancel
	s.running.Go(func() {
		defer cancel()
		s.handle(ctx, conn)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	})
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing is left to send
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session, err := newStartup(s, conn).run(ctx)
	s.started(conn)
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

func (s *Server) started(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// parameter returns the value of a parameter status by its name in lower case.
func (s *Server) parameter(lower string) string {
	for name, value := range s.config.Parameters {
		if strings.ToLower(name) == lower {
			return value
		}
	}
	return ""
}

// register gives the session its cancel key. The key is the host key and a
// number unique on this host, with a random secret.
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
		s.sequence++
		session.processID = uint32(s.config.HostKey)<<16 | uint32(s.sequence)
		if _, taken := s.sessions[session.processID]; !taken {
			break
		}
	}
	session.secret = make([]byte, 4)
	_, _ = rand.Read(session.secret) // never fails
	s.sessions[session.processID] = session
	// From here on the caller may send requests, so a shutdown must not cut
	// the connection.
	delete(s.starting, session.counted.Conn)
	return nil
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
}

// cancel carries out a cancel request for a session of this host or passes it
// on. A cancel request gets no answer.
func (s *Server) cancel(ctx context.Context, request *pgproto3.CancelRequest) {
	if key := uint16(request.ProcessID >> 16); key != s.config.HostKey {
		if s.config.ForwardCancel != nil {
			s.config.ForwardCancel(ctx, key, *request)
		}
		return
	}
	s.Cancel(ctx, request.ProcessID, request.SecretKey)
}

// Cancel cancels the running statement of a session of this host, for example
// on a request that another host forwarded.
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

// Shutdown accepts no more callers, ends sessions with 57P01 once they are
// outside a request and a transaction, and returns when none is left. When
// ctx ends first, it cuts the remaining connections and returns the error.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "caller: shutdown") }()
	s.drain()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
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

func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for _, cancel := range s.starting {
		cancel()
	}
	for _, session := range s.sessions {
		session.interruptIdle()
	}
}
