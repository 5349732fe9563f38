// Package backendserver owns the stand-in for a backend server: a small
// in-memory database that speaks the PostgreSQL protocol, keeps a log with
// positions, replicates it asynchronously to other servers, and offers the
// functions of the schema basilmill and injected faults. It is a test double
// and keeps its data in memory only.
package backendserver

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/standin/internal/sql"
)

// DefaultQuiesceTimeout is the time that open write transactions have to
// finish when the server is quiesced.
const DefaultQuiesceTimeout = time.Second

// Config configures a server.
type Config struct {
	// ID names the server within its group.
	ID group.ServerID
	// Listener accepts clients and the feeds of replicas.
	Listener net.Listener
	// ReplicationListener is an optional second listener. Each listener accepts both
	// clients and feeds.
	ReplicationListener net.Listener
	// Dial connects to the primary. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Role is the initial role. A server that replaces a killed one starts as
	// a replica: its memory is empty, and a primary with an empty log would
	// present a second history of the same term.
	Role group.Role
	// Term, Generation and Successor are those of an initial primary. A zero
	// term means 1. A replica refuses feeds of lower terms than Term.
	Term       group.Term
	Generation group.Generation
	Successor  group.ServerID
	// Primary and PrimaryAddress name the server that an initial replica
	// follows. Without an address it waits for a follow command.
	Primary        group.ServerID
	PrimaryAddress string

	// Databases lists the databases that clients may use; empty means any.
	Databases []string
	// ConnectionLimit bounds the open client connections; 0 means no limit.
	ConnectionLimit int
	// StartupDelay delays the end of each connection's start-up.
	StartupDelay time.Duration
	// Password makes clients authenticate with SCRAM-SHA-256, as User if it
	// is set. An empty password trusts every client.
	User, Password string
	// QuiesceTimeout replaces DefaultQuiesceTimeout.
	QuiesceTimeout time.Duration

	// Logger receives changes of role and broken feeds. Nil discards them.
	Logger *slog.Logger
}

// Server is a backend server.
type Server struct {
	config Config
	logger *slog.Logger
	group  sync.WaitGroup

	// mu guards the fields below. It is never held during I/O or a wait.
	mu      sync.RWMutex
	changed chan struct{} // see watch

	role       group.Role
	log        *log
	generation group.Generation
	successor  group.ServerID
	// commanded is the highest term that any command named.
	commanded group.Term
	follower  *follower
	feeds     map[*feed]struct{}

	epoch    epoch
	locks    *locks
	writers  int // open write transactions of the epoch
	quiesced bool

	faults      Faults
	connections map[*connection]struct{}
	sessions    map[uint32]*session
	lastSession uint32
	counters    Counters
	running     context.Context
}

// New returns a server with an empty log. An initial primary starts its term.
func New(config Config) *Server {
	s := &Server{
		config:      config,
		logger:      config.Logger,
		role:        config.Role,
		log:         newLog(),
		commanded:   config.Term,
		feeds:       map[*feed]struct{}{},
		locks:       newLocks(),
		connections: map[*connection]struct{}{},
		sessions:    map[uint32]*session{},
		counters:    Counters{Statements: map[string]int64{}},
	}
	if s.logger == nil {
		s.logger = slog.New(slog.DiscardHandler)
	}
	s.logger = s.logger.With("server", config.ID)
	if s.config.Dial == nil {
		s.config.Dial = (&net.Dialer{}).DialContext
	}
	if s.config.QuiesceTimeout == 0 {
		s.config.QuiesceTimeout = DefaultQuiesceTimeout
	}
	if config.Role == group.Primary {
		s.commanded = max(config.Term, 1)
		s.generation, s.successor = config.Generation, config.Successor
		s.log.startTerm(s.commanded, time.Now())
	}
	return s
}

// Restart returns a server that continues with the log and the role of this
// one, as a database that restarts with its disk. This server must have ended.
func (s *Server) Restart(listener net.Listener) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := s.config
	config.Listener, config.ReplicationListener = listener, nil
	config.Role = group.Replica
	config.Primary, config.PrimaryAddress = "", ""
	if s.follower != nil {
		config.Primary, config.PrimaryAddress = s.follower.primary, s.follower.address
	}
	next := New(config)
	next.role, next.log, next.commanded = s.role, s.log, s.commanded
	next.generation, next.successor = s.generation, s.successor
	next.quiesced = s.quiesced
	return next
}

// ID returns the server's id.
func (s *Server) ID() group.ServerID { return s.config.ID }

// Run serves until ctx ends, then closes the listeners and all connections
// and waits for its goroutines.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(ctx)
	failure := make(chan error, 2)
	for _, listener := range s.listeners() {
		s.group.Go(func() { failure <- s.accept(ctx, listener) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failure:
	}
	cancel()
	s.closeListeners()
	s.CloseConnections()
	s.group.Wait()
	return err
}

func (s *Server) listeners() []net.Listener {
	listeners := []net.Listener{s.config.Listener}
	if s.config.ReplicationListener != nil {
		listeners = append(listeners, s.config.ReplicationListener)
	}
	return listeners
}

func (s *Server) closeListeners() {
	for _, listener := range s.listeners() {
		_ = listener.Close()
	}
}

func (s *Server) start(ctx context.Context) {
	s.group.Go(func() { s.applyReceived(ctx) })
	s.group.Go(func() { s.followPrimary(ctx) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = ctx
	if s.role == group.Replica && s.config.PrimaryAddress != "" {
		s.startFollower(s.config.Primary, s.config.PrimaryAddress)
	}
}

func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept connections")
		}
		s.group.Go(func() { s.serve(ctx, conn) })
	}
}

// watch returns a channel that is closed at the next change of the server's
// state. The caller holds the mutex.
func (s *Server) watch() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes the goroutines that watch the state. The caller holds the
// mutex.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Status returns what basilmill.status() reports.
func (s *Server) Status() group.Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	term := s.log.term()
	return group.Status{
		Server:     s.config.ID,
		Role:       s.role,
		Term:       term.Term,
		TermStart:  term.Start,
		Generation: s.generation,
		Successor:  s.successor,
		Received:   s.log.end() + s.faults.ReceivedExcess,
		Applied:    s.log.appliedEnd(),
		Leaving:    s.faults.Leaving,
	}
}

// table returns a committed table, or nil. The caller holds the mutex.
func (s *Server) table(id tableID) *table { return s.log.tables.lookup(id) }

// beginWrite admits a write transaction, unless the server is a replica or
// quiesced.
func (s *Server) beginWrite(t *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write on a replica")
	}
	if s.quiesced {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write: the server is quiesced")
	}
	t.writing, t.epoch, t.locks = true, s.epoch, s.locks
	s.writers++
	return nil
}

func (s *Server) endWrite(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.epoch == s.epoch {
		s.writers--
		s.notify()
	}
}

func (s *Server) commit(t *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := t.checkEpoch(); err != nil {
		return err
	}
	s.log.commit(t.operations, time.Now())
	s.notify()
	return nil
}

// endEpoch fails all open write transactions. The caller holds the mutex.
func (s *Server) endEpoch() {
	s.epoch++
	s.writers = 0
	close(s.locks.ended)
	s.locks = newLocks()
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
