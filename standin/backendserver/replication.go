package backendserver

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// A feed starts like a client connection, with a start-up message that has
// these parameters. Values of encoding/gob follow: hello from the primary,
// request from the replica, then batches from the primary.
const (
	feedParameter = "replication"
	feedValue     = "basilmill"
	idParameter   = "basilmill_server"
)

const (
	// batchLimit bounds the entries of one batch.
	batchLimit = 256
	// handshakeTimeout bounds connecting to the primary and its hello.
	handshakeTimeout = 2 * time.Second
	// Intervals of the backoff between attempts to reach the primary.
	minReconnect = 20 * time.Millisecond
	maxReconnect = 200 * time.Millisecond
)

// hello describes the primary's log. A server that is not a primary sends
// hello with term 0.
type hello struct {
	Term       group.Term
	Generation group.Generation
	Terms      []termStart
	End        group.Offset
}

// request asks for the entries from an offset on.
type request struct{ From group.Offset }

// batch carries consecutive entries.
type batch struct{ Entries []entry }

// feed is the primary's side of a feed.
type feed struct {
	replica group.ServerID
	closed  bool
	conn    net.Conn
}

// closeFeeds closes the feeds of a replica, or all for an empty id. The
// caller holds the mutex.
func (s *Server) closeFeeds(replica group.ServerID) {
	for f := range s.feeds {
		if replica == "" || f.replica == replica {
			f.closed = true
			delete(s.feeds, f)
			_ = f.conn.Close()
		}
	}
	s.notify()
}

// serveFeed sends the log to a replica until the connection or the feed ends.
func (s *Server) serveFeed(ctx context.Context, c *connection, replica group.ServerID) error {
	encoder, decoder := gob.NewEncoder(c), gob.NewDecoder(c)
	f, greeting := s.openFeed(c, replica)
	if err := encoder.Encode(greeting); err != nil || f == nil {
		return err
	}
	defer s.closeFeed(f)
	var from request
	if err := decoder.Decode(&from); err != nil {
		return eris.Wrap(err, "read the feed request")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.group.Go(func() {
		defer cancel()
		// The replica sends nothing more: the read ends with the connection.
		_ = decoder.Decode(&request{})
	})
	return s.sendEntries(ctx, f, encoder, from.From)
}

func (s *Server) openFeed(c *connection, replica group.ServerID) (*feed, hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary {
		return nil, hello{}
	}
	s.closeFeeds(replica)
	f := &feed{replica: replica, conn: c}
	s.feeds[f] = struct{}{}
	greeting := hello{Term: s.log.term().Term, Terms: s.log.terms, End: s.log.end()}
	if replica == s.successor {
		greeting.Generation = s.generation
	}
	return f, greeting
}

func (s *Server) closeFeed(f *feed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.closed = true
	delete(s.feeds, f)
}

func (s *Server) sendEntries(ctx context.Context, f *feed, encoder *gob.Encoder, from group.Offset) error {
	for {
		entries, err := s.nextEntries(ctx, f, from)
		if err != nil {
			return err
		}
		if err := encoder.Encode(batch{entries}); err != nil {
			return eris.Wrap(err, "send entries")
		}
		from = entries[len(entries)-1].End
	}
}

// nextEntries waits for entries that are due for a feed. An entry is due when
// the replication delay has passed since its commit.
func (s *Server) nextEntries(ctx context.Context, f *feed, from group.Offset) ([]entry, error) {
	for {
		entries, wait, changed, err := s.dueEntries(f, from)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		if err := waitChange(ctx, changed, wait); err != nil {
			return nil, err
		}
	}
}

func (s *Server) dueEntries(
	f *feed, from group.Offset,
) (due []entry, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.closed {
		return nil, 0, nil, eris.New("the feed was closed")
	}
	first := s.log.indexAfter(from)
	if first < 0 {
		return nil, 0, nil, eris.Errorf("no entry starts at %d", from)
	}
	changed = s.watch()
	delay, stalled := s.faults.replication(f.replica)
	if stalled {
		return nil, 0, changed, nil
	}
	pending := s.log.entries[first:]
	pending = pending[:min(len(pending), batchLimit)]
	due, wait = dueBy(pending, delay)
	return due, wait, changed, nil
}

// dueBy returns the leading entries that are at least as old as delay, and
// the wait until the next one is, or 0 if there is none.
func dueBy(entries []entry, delay time.Duration) ([]entry, time.Duration) {
	if delay == 0 {
		return entries, 0
	}
	for i, e := range entries {
		if wait := delay - time.Since(e.at); wait > 0 {
			return entries[:i], wait
		}
	}
	return entries, 0
}

// waitChange waits for a change, the end of ctx, or a duration if it is not 0.
func waitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-expired:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}

// follower is the replica's side of a feed. It reconnects until it is
// stopped.
type follower struct {
	primary group.ServerID
	address string
	stopped chan struct{}
}

// startFollower replaces the follower. The caller holds the mutex.
func (s *Server) startFollower(primary group.ServerID, address string) {
	s.stopFollower()
	s.follower = &follower{primary: primary, address: address, stopped: make(chan struct{})}
	s.notify()
}

// stopFollower stops the follower; entries that it still receives are
// dropped. The caller holds the mutex.
func (s *Server) stopFollower() {
	if s.follower != nil {
		close(s.follower.stopped)
		s.follower = nil
	}
}

// followPrimary runs one follower after the other.
func (s *Server) followPrimary(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		f, changed := s.follower, s.watch()
		s.mu.Unlock()
		if f != nil {
			s.runFollower(ctx, f)
			continue
		}
		_ = waitChange(ctx, changed, 0)
	}
}

// runFollower keeps a feed until the follower is stopped.
func (s *Server) runFollower(ctx context.Context, f *follower) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.group.Go(func() {
		defer cancel()
		_ = waitChange(ctx, f.stopped, 0)
	})
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval, intervals.MaxInterval = minReconnect, maxReconnect
	for ctx.Err() == nil {
		started := time.Now()
		connected, err := s.receiveFeed(ctx, f)
		s.logger.Debug("feed ended", "primary", f.primary, "address", f.address, "error", eris.ToString(err, false))
		if connected {
			intervals.Reset()
			if time.Since(started) > maxReconnect {
				// The primary ends feeds that it re-establishes under another
				// generation: the change of successor need not wait.
				continue
			}
		}
		_ = sleep(ctx, intervals.NextBackOff())
	}
}

// receiveFeed connects to the primary and receives entries until an error.
// It reports whether the feed was established.
func (s *Server) receiveFeed(ctx context.Context, f *follower) (connected bool, err error) {
	defer func() { err = eris.Wrapf(err, "feed from %s", f.primary) }()
	dialling, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := s.config.Dial(dialling, "tcp", f.address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	greeting, err := s.greet(conn, decoder)
	if err != nil {
		return false, err
	}
	from, err := s.adopt(f, greeting)
	if err != nil {
		return false, err
	}
	if err := encoder.Encode(request{from}); err != nil {
		return false, err
	}
	for {
		var received batch
		if err := decoder.Decode(&received); err != nil {
			return true, err
		}
		if err := s.receive(f, received.Entries); err != nil {
			return true, err
		}
	}
}

// greet sends the start-up message and reads the primary's hello.
func (s *Server) greet(conn net.Conn, decoder *gob.Decoder) (greeting hello, err error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, err
	}
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": feedValue, feedParameter: feedValue, idParameter: string(s.config.ID),
		},
	}
	message, err := startup.Encode(nil)
	if err != nil {
		return hello{}, err
	}
	if _, err := conn.Write(message); err != nil {
		return hello{}, err
	}
	if err := decoder.Decode(&greeting); err != nil {
		return hello{}, err
	}
	return greeting, conn.SetDeadline(time.Time{})
}

// adopt prepares the log for a feed: it drops the end that diverged from the
// primary's log and takes over the feed's generation.
func (s *Server) adopt(f *follower, greeting hello) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower != f {
		return 0, eris.New("the server no longer follows this primary")
	}
	own := s.log.term().Term
	if greeting.Term < max(own, s.commanded, 1) {
		return 0, eris.Errorf("the primary is in term %d, the replica requires %d", greeting.Term, max(own, s.commanded, 1))
	}
	common := s.log.commonEnd(greeting.Terms, greeting.End)
	if common < s.log.end() {
		if own == greeting.Term {
			return 0, eris.Errorf("the primary lost entries of term %d", own)
		}
		s.logger.Info("dropping diverged entries", "from", common, "end", s.log.end())
		s.log.truncate(common)
	}
	s.generation = greeting.Generation
	s.notify()
	return s.log.end(), nil
}

// receive appends entries of the feed to the log.
func (s *Server) receive(f *follower, entries []entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower != f {
		return eris.New("the server no longer follows this primary")
	}
	at := time.Now()
	for _, e := range entries {
		if e.Start != s.log.end() {
			return eris.Errorf("received an entry at %d, expected %d", e.Start, s.log.end())
		}
		e.at = at
		s.log.append(e)
	}
	s.applyDue()
	s.notify()
	return nil
}

// applyDue applies the entries whose apply delay has passed and returns the
// wait until the next one is due. The caller holds the mutex.
func (s *Server) applyDue() time.Duration {
	due, wait := dueBy(s.log.entries[s.log.applied:], s.faults.ApplyDelay)
	for range due {
		s.log.applyNext()
	}
	return wait
}

// applyReceived applies delayed entries when they are due.
func (s *Server) applyReceived(ctx context.Context) {
	for {
		s.mu.Lock()
		wait := s.applyDue()
		changed := s.watch()
		s.mu.Unlock()
		if waitChange(ctx, changed, wait) != nil {
			return
		}
	}
}
