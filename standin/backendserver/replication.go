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

// A replication stream starts like a client connection: the replica sends a
// start-up message with these parameters. Then follow values of encoding/gob:
// a logHeader from the primary, an entriesRequest from the replica, and an
// entryBatch from the primary whenever entries are due.
const (
	replicationParameter = "replication"
	replicationValue     = "basilmill"
	serverIDParameter    = "basilmill_server"
)

const (
	// maxBatchEntries bounds the number of entries in one batch.
	maxBatchEntries = 256
	// handshakeTimeout bounds connecting to the primary, and then the exchange
	// of the start-up message and the logHeader.
	handshakeTimeout = 2 * time.Second
	// Bounds of the backoff between attempts to connect to the primary.
	minReconnectBackoff = 20 * time.Millisecond
	maxReconnectBackoff = 200 * time.Millisecond
)

// logHeader is the first message of a replication stream and describes the
// primary's log. A server that is not a primary sends a header with term 0.
type logHeader struct {
	Term       group.Term
	Generation group.Generation
	Terms      []termStart
	End        group.Offset
}

// entriesRequest is the replica's request for all entries from an offset on.
type entriesRequest struct{ From group.Offset }

// entryBatch is a message with consecutive entries of the primary's log.
type entryBatch struct{ Entries []entry }

// replicationStream is the primary's side of the connection over which it sends
// its log to one replica.
type replicationStream struct {
	replica group.ServerID
	closed  bool
	conn    net.Conn
}

// closeStreams closes the replication streams to a replica, or all if the id is
// empty. The caller must hold the mutex.
func (s *Server) closeStreams(replica group.ServerID) {
	for stream := range s.streams {
		if replica == "" || stream.replica == replica {
			stream.closed = true
			delete(s.streams, stream)
			_ = stream.conn.Close()
		}
	}
	s.notify()
}

// serveStream sends the log to a replica until the connection fails or the
// stream is closed.
func (s *Server) serveStream(ctx context.Context, c *connection, replica group.ServerID) error {
	encoder, decoder := gob.NewEncoder(c), gob.NewDecoder(c)
	stream, header := s.openStream(c, replica)
	if err := encoder.Encode(header); err != nil || stream == nil {
		return err
	}
	defer s.closeStream(stream)
	var request entriesRequest
	if err := decoder.Decode(&request); err != nil {
		return eris.Wrap(err, "read the replica's request for entries")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.wg.Go(func() {
		defer cancel()
		// The replica sends nothing more, so this read returns when the
		// connection ends.
		_ = decoder.Decode(&entriesRequest{})
	})
	return s.sendEntries(ctx, stream, encoder, request.From)
}

// openStream registers the replication stream to a replica, which replaces an
// earlier one, and returns it with its header. The stream is nil if the server is
// not the primary.
func (s *Server) openStream(c *connection, replica group.ServerID) (*replicationStream, logHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary {
		return nil, logHeader{}
	}
	s.closeStreams(replica)
	stream := &replicationStream{replica: replica, conn: c}
	s.streams[stream] = struct{}{}
	header := logHeader{Term: s.log.currentTerm().Term, Terms: s.log.terms, End: s.log.end()}
	if replica == s.successor {
		header.Generation = s.generation
	}
	return stream, header
}

func (s *Server) closeStream(stream *replicationStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream.closed = true
	delete(s.streams, stream)
}

func (s *Server) sendEntries(
	ctx context.Context, stream *replicationStream, encoder *gob.Encoder, from group.Offset,
) error {
	for {
		entries, err := s.waitForDueEntries(ctx, stream, from)
		if err != nil {
			return err
		}
		if err := encoder.Encode(entryBatch{entries}); err != nil {
			return eris.Wrap(err, "send entries")
		}
		from = entries[len(entries)-1].End
	}
}

// waitForDueEntries waits until entries are due to be sent and returns them.
// An entry is due when the replication delay has passed since its commit.
func (s *Server) waitForDueEntries(ctx context.Context, stream *replicationStream, from group.Offset) ([]entry, error) {
	for {
		entries, wait, changed, err := s.dueEntries(stream, from)
		if err != nil || len(entries) > 0 {
			return entries, err
		}
		if err := waitForChange(ctx, changed, wait); err != nil {
			return nil, err
		}
	}
}

// dueEntries returns the entries that are due to be sent. If there are none, it
// returns how long to wait for the next one, or 0, and a channel that is closed
// at the next change of the server's state.
func (s *Server) dueEntries(
	stream *replicationStream, from group.Offset,
) (due []entry, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream.closed {
		return nil, 0, nil, eris.New("the replication stream was closed")
	}
	first := s.log.entryIndexAt(from)
	if first < 0 {
		return nil, 0, nil, eris.Errorf("no log entry starts at offset %d", from)
	}
	changed = s.watch()
	delay, stalled := s.faults.replicationFaults(stream.replica)
	if stalled {
		return nil, 0, changed, nil
	}
	pending := s.log.entries[first:]
	pending = pending[:min(len(pending), maxBatchEntries)]
	due, wait = splitDue(pending, delay)
	return due, wait, changed, nil
}

// splitDue returns the leading entries that are at least as old as delay, and
// the time until the next entry is. The time is 0 if there is no next entry.
func splitDue(entries []entry, delay time.Duration) ([]entry, time.Duration) {
	if delay == 0 {
		return entries, 0
	}
	for i, e := range entries {
		if wait := delay - time.Since(e.loggedAt); wait > 0 {
			return entries[:i], wait
		}
	}
	return entries, 0
}

// waitForChange waits until changed is closed, ctx is done, or a duration has
// passed. A duration of 0 does not limit the wait.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
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

// follower is the replica's side of replication from one primary. It reconnects
// until it is stopped.
type follower struct {
	primary group.ServerID
	address string
	stopped chan struct{}
}

// startFollower replaces the current follower. The caller must hold the mutex.
func (s *Server) startFollower(primary group.ServerID, address string) {
	s.stopFollower()
	s.follower = &follower{primary: primary, address: address, stopped: make(chan struct{})}
	s.notify()
}

// stopFollower stops the current follower, if any. Entries that it still
// receives are dropped. The caller must hold the mutex.
func (s *Server) stopFollower() {
	if s.follower != nil {
		close(s.follower.stopped)
		s.follower = nil
	}
}

// runFollowers runs the current follower, and after it was replaced the next
// one, until ctx is done.
func (s *Server) runFollowers(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		f, changed := s.follower, s.watch()
		s.mu.Unlock()
		if f != nil {
			s.runFollower(ctx, f)
			continue
		}
		_ = waitForChange(ctx, changed, 0)
	}
}

// runFollower replicates from the follower's primary until the follower is
// stopped. It reconnects with backoff.
func (s *Server) runFollower(ctx context.Context, f *follower) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.wg.Go(func() {
		defer cancel()
		_ = waitForChange(ctx, f.stopped, 0)
	})
	reconnectBackoff := backoff.NewExponentialBackOff()
	reconnectBackoff.InitialInterval, reconnectBackoff.MaxInterval = minReconnectBackoff, maxReconnectBackoff
	for ctx.Err() == nil {
		started := time.Now()
		connected, err := s.receiveStream(ctx, f)
		s.logger.Debug("replication from the primary ended", "primary", f.primary, "address", f.address, "error", eris.ToString(err, false))
		if connected {
			reconnectBackoff.Reset()
			if time.Since(started) > maxReconnectBackoff {
				// The primary closes the stream when the successor changes.
				// Reconnecting without a pause lets that change take effect
				// at once.
				continue
			}
		}
		_ = sleep(ctx, reconnectBackoff.NextBackOff())
	}
}

// receiveStream connects to the primary and receives entries until an error
// occurs. It reports whether the replication stream was established.
func (s *Server) receiveStream(ctx context.Context, f *follower) (connected bool, err error) {
	defer func() { err = eris.Wrapf(err, "replicate from server %s", f.primary) }()
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := s.config.Dial(dialCtx, "tcp", f.address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	encoder, decoder := gob.NewEncoder(conn), gob.NewDecoder(conn)
	header, err := s.handshake(conn, decoder)
	if err != nil {
		return false, err
	}
	from, err := s.reconcileLog(f, header)
	if err != nil {
		return false, err
	}
	if err := encoder.Encode(entriesRequest{from}); err != nil {
		return false, err
	}
	for {
		var received entryBatch
		if err := decoder.Decode(&received); err != nil {
			return true, err
		}
		if err := s.appendReceived(f, received.Entries); err != nil {
			return true, err
		}
	}
}

// handshake sends the start-up message and reads the primary's header.
func (s *Server) handshake(conn net.Conn, decoder *gob.Decoder) (header logHeader, err error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return logHeader{}, err
	}
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": replicationValue, replicationParameter: replicationValue, serverIDParameter: string(s.config.ID),
		},
	}
	message, err := startup.Encode(nil)
	if err != nil {
		return logHeader{}, err
	}
	if _, err := conn.Write(message); err != nil {
		return logHeader{}, err
	}
	if err := decoder.Decode(&header); err != nil {
		return logHeader{}, err
	}
	return header, conn.SetDeadline(time.Time{})
}

// reconcileLog drops the entries that are not in the primary's log, adopts the
// generation of the stream and returns the offset from which to request
// entries. It refuses a primary of a lower term than this server requires, and
// a primary that lost entries of its own term.
func (s *Server) reconcileLog(f *follower, header logHeader) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower != f {
		return 0, eris.New("the server no longer follows this primary")
	}
	own := s.log.currentTerm().Term
	if header.Term < max(own, s.commandedTerm, 1) {
		return 0, eris.Errorf("the primary is in term %d, the replica requires %d", header.Term, max(own, s.commandedTerm, 1))
	}
	common := s.log.commonPrefixEnd(header.Terms, header.End)
	if common < s.log.end() {
		if own == header.Term {
			return 0, eris.Errorf("the primary lost entries of term %d", own)
		}
		s.logger.Info("dropping log entries that diverge from the primary's log", "from", common, "end", s.log.end())
		s.log.truncate(common)
	}
	s.generation = header.Generation
	s.notify()
	return s.log.end(), nil
}

// appendReceived appends received entries to the log and applies those whose
// apply delay has passed.
func (s *Server) appendReceived(f *follower, entries []entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower != f {
		return eris.New("the server no longer follows this primary")
	}
	at := time.Now()
	for _, e := range entries {
		if e.Start != s.log.end() {
			return eris.Errorf("received a log entry at offset %d, expected offset %d", e.Start, s.log.end())
		}
		e.loggedAt = at
		s.log.append(e)
	}
	s.applyDue()
	s.notify()
	return nil
}

// applyDue applies the entries whose apply delay has passed and returns the
// time until the next one is due, or 0 if there is none. The caller must hold
// the mutex.
func (s *Server) applyDue() time.Duration {
	due, wait := splitDue(s.log.entries[s.log.appliedCount:], s.faults.ApplyDelay)
	for range due {
		s.log.applyNext()
	}
	return wait
}

// runApplier applies received entries as they become due, until ctx is done.
func (s *Server) runApplier(ctx context.Context) {
	for {
		s.mu.Lock()
		wait := s.applyDue()
		changed := s.watch()
		s.mu.Unlock()
		if waitForChange(ctx, changed, wait) != nil {
			return
		}
	}
}
