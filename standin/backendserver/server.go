// Package backendserver owns the stand-in for a backend server, a test double
// that keeps its data in memory only. It is a small database that speaks the
// PostgreSQL protocol, writes each commit to a log with positions, replicates
// the log asynchronously to other servers, and offers the functions of the
// schema basilmill. Tests can inject faults.
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
	// Listener accepts clients and replicas.
	Listener net.Listener
	// ReplicationListener is an optional second listener. Both listeners
	// accept clients as well as replicas.
	ReplicationListener net.Listener
	// Dial connects to the primary. Nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Role is the initial role. A server that replaces a killed one must start
	// as a replica: its log is empty, and a primary with an empty log would
	// write a second, diverging log in the same term.
	Role group.Role
	// Term, Generation and Successor are the initial values of a primary, whose
	// term is at least 1. A replica does not replicate from a primary of a
	// lower term than Term.
	Term       group.Term
	Generation group.Generation
	Successor  group.ServerID
	// Primary and PrimaryAddress are the id and address of the server that an
	// initial replica replicates from. Without an address it waits for a
	// follow command.
	Primary        group.ServerID
	PrimaryAddress string

	// Databases lists the databases that clients may use; empty means any.
	Databases []string
	// ConnectionLimit bounds the open client connections; 0 means no limit.
	ConnectionLimit int
	// StartupDelay delays the start-up of each client connection before the
	// client is authenticated.
	StartupDelay time.Duration
	// Password makes clients authenticate with SCRAM-SHA-256, as User if it
	// is set. Without a password every client is accepted.
	User, Password string
	// QuiesceTimeout bounds the wait for open write transactions in quiesce;
	// 0 means DefaultQuiesceTimeout.
	QuiesceTimeout time.Duration

	// Logger logs changes of role and successor and truncations of the log at
	// level info, and the end of replication streams at level debug. Nil
	// discards these records.
	Logger *slog.Logger
}

// Server is a stand-in backend server, either the primary or a replica of its
// group.
type Server struct {
	config Config
	logger *slog.Logger
	wg     sync.WaitGroup

	// mu guards the fields below. It is not held during I/O or a wait.
	mu           sync.RWMutex
	stateChanged chan struct{} // see watch

	role       group.Role
	log        *log
	generation group.Generation
	successor  group.ServerID
	// commandedTerm is the highest term named by Config.Term or by a promote or
	// follow command.
	commandedTerm group.Term
	follower      *follower
	streams       map[*replicationStream]struct{}

	writeEpoch writeEpoch
	lockTable  *lockTable
	openWrites int // number of open write transactions of writeEpoch
	quiesced   bool

	faults        Faults
	connections   map[*connection]struct{}
	sessions      map[uint32]*session
	lastSessionID uint32
	counters      Counters
	runCtx        context.Context
}

// New returns a server with an empty log. An initial primary starts its term.
func New(config Config) *Server {
	s := &Server{
		config:        config,
		logger:        config.Logger,
		role:          config.Role,
		log:           newLog(),
		commandedTerm: config.Term,
		streams:       map[*replicationStream]struct{}{},
		lockTable:     newLockTable(),
		connections:   map[*connection]struct{}{},
		sessions:      map[uint32]*session{},
		counters:      Counters{Statements: map[string]int64{}},
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
		s.commandedTerm = max(config.Term, 1)
		s.generation, s.successor = config.Generation, config.Successor
		s.log.startTerm(s.commandedTerm, time.Now())
	}
	return s
}

// Restart returns a server with the log and the role of this one, like a
// database that restarts from its disk. Run must have returned on this server.
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
	next.role, next.log, next.commandedTerm = s.role, s.log, s.commandedTerm
	next.generation, next.successor = s.generation, s.successor
	next.quiesced = s.quiesced
	return next
}

// ID returns the server's id.
func (s *Server) ID() group.ServerID { return s.config.ID }

// Run serves until ctx is done or a listener fails, then closes the listeners
// and all connections and waits for its goroutines.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(ctx)
	failure := make(chan error, 2)
	for _, listener := range s.listeners() {
		s.wg.Go(func() { failure <- s.accept(ctx, listener) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failure:
	}
	cancel()
	s.closeListeners()
	s.CloseConnections()
	s.wg.Wait()
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
	s.wg.Go(func() { s.runApplier(ctx) })
	s.wg.Go(func() { s.runFollowers(ctx) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCtx = ctx
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
		s.wg.Go(func() { s.serve(ctx, conn) })
	}
}

// watch returns a channel that is closed at the next change of the server's
// state. The caller must hold the mutex.
func (s *Server) watch() <-chan struct{} {
	if s.stateChanged == nil {
		s.stateChanged = make(chan struct{})
	}
	return s.stateChanged
}

// notify wakes the goroutines that wait on a channel from watch. The caller
// must hold the mutex.
func (s *Server) notify() {
	if s.stateChanged != nil {
		close(s.stateChanged)
		s.stateChanged = nil
	}
}

// Status returns the values that basilmill.status() reports.
func (s *Server) Status() group.Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	term := s.log.currentTerm()
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

// table returns a committed table, or nil. The caller must hold the mutex.
func (s *Server) table(id tableID) *table { return s.log.tables.lookup(id) }

// beginWrite registers t as a write transaction. It fails on a replica and on
// a quiesced primary.
func (s *Server) beginWrite(t *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write on a replica")
	}
	if s.quiesced {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write: the server is quiesced")
	}
	t.writing, t.writeEpoch, t.lockTable = true, s.writeEpoch, s.lockTable
	s.openWrites++
	return nil
}

// endWrite ends the write transaction t.
func (s *Server) endWrite(t *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.writeEpoch == s.writeEpoch {
		s.openWrites--
		s.notify()
	}
}

// commit writes the operations of t to the log, unless its write epoch has
// ended.
func (s *Server) commit(t *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := t.checkWriteEpoch(); err != nil {
		return err
	}
	s.log.commit(t.operations, time.Now())
	s.notify()
	return nil
}

// endWriteEpoch makes all open write transactions fail. The caller must hold
// the mutex.
func (s *Server) endWriteEpoch() {
	s.writeEpoch++
	s.openWrites = 0
	close(s.lockTable.epochEnded)
	s.lockTable = newLockTable()
}

// sleep waits for a duration or until ctx is done.
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
