package replicated

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// streamBuffer bounds the statements and the answers that a connection holds.
const streamBuffer = 128

// Dial implements link.Dialer.
func (c *Cluster) Dial(ctx context.Context, server catalog.Server, id account.ID) (link.Stream, error) {
	if err := sleep(ctx, 2*NetDelay); err != nil {
		return nil, err
	}
	c.mu.Lock()
	s := c.servers[server.ID]
	switch {
	case s == nil || !s.up || c.isStopped():
		c.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	case s.unreachable || s.hidden:
		c.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	case c.ConnectionLimit > 0 && len(s.streams) >= c.ConnectionLimit:
		c.refusedConnections++
		c.mu.Unlock()
		return nil, &exchange.Error{Code: exchange.TooManyConnections}
	}
	defer c.mu.Unlock()
	s.openedConnections++
	st := &stream{server: s, number: s.openedConnections, requests: make(chan exchange.Statement, streamBuffer), answers: make(chan exchange.Answer, streamBuffer), closed: make(chan struct{})}
	s.streams = append(s.streams, st)
	go st.serve()
	return st, nil
}

// stream is one connection to a server. It implements link.Stream.
type stream struct {
	server    *Server
	number    int
	requests  chan exchange.Statement
	answers   chan exchange.Answer
	closed    chan struct{}
	closeOnce sync.Once

	sessionValues map[string]string
	prepared      map[string]exchange.PreparedStatement
	state         exchange.State
	readOnly      bool
	pendingWrites []string
}

// markClosed ends the connection without removing it from its server.
func (st *stream) markClosed() { st.closeOnce.Do(func() { close(st.closed) }) }

// Send implements link.Stream.
func (st *stream) Send(batch []exchange.Statement) error {
	for _, s := range batch {
		select {
		case st.requests <- s:
		case <-st.closed:
			return io.ErrClosedPipe
		}
	}
	return nil
}

// Receive implements link.Stream.
func (st *stream) Receive() (exchange.Answer, error) {
	select {
	case a := <-st.answers:
		return a, nil
	case <-st.closed:
		return exchange.Answer{}, io.EOF
	}
}

// Close implements link.Stream.
func (st *stream) Close() error {
	st.markClosed()
	cluster := st.server.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	st.server.streams = slices.DeleteFunc(st.server.streams, func(other *stream) bool { return other == st })
	return nil
}

// serve runs the statements in the order in which they were sent.
func (st *stream) serve() {
	for {
		select {
		case <-st.closed:
			return
		case statement := <-st.requests:
			if !st.handle(statement) {
				return
			}
		}
	}
}

// handle runs one statement and sends its answer. It returns false if the
// connection sends no more answers.
func (st *stream) handle(statement exchange.Statement) bool {
	time.Sleep(NetDelay)
	if accessesData(statement.Operation) {
		time.Sleep(ExecutionDelay)
	}
	cluster := st.server.cluster
	for {
		cluster.mu.Lock()
		unreachable := st.server.unreachable || st.server.hidden
		cluster.mu.Unlock()
		if !unreachable {
			break
		}
		select {
		case <-st.closed:
			return false
		case <-time.After(replicationInterval):
		}
	}
	if cluster.deferCommand(st.server.id, statement) {
		return false
	}
	answer, err := st.run(statement)
	if err != nil {
		return false
	}
	time.Sleep(NetDelay)
	select {
	case st.answers <- answer:
		return true
	case <-st.closed:
		return false
	}
}

// accessesData reports whether an operation reads, writes or commits data. Such
// operations take ExecutionDelay.
func accessesData(o exchange.Operation) bool {
	switch o {
	case exchange.Read, exchange.Write, exchange.Execute, exchange.Commit:
		return true
	default:
		return false
	}
}

// errUnanswered makes a connection answer neither the current statement nor any
// later one.
var errUnanswered = errors.New("no answer")

// run runs a statement and returns its answer. A write or commit is answered
// after a replica has confirmed it.
func (st *stream) run(statement exchange.Statement) (exchange.Answer, error) {
	s := st.server
	cluster := s.cluster
	cluster.mu.Lock()
	answer, needsConfirmation := st.execute(statement)
	length := len(s.log)
	answerLost := false
	if statement.ID != "" && answer.Failure == nil && s.answersToLose > 0 {
		s.answersToLose--
		answerLost = true
	}
	cluster.mu.Unlock()
	if needsConfirmation {
		if err := st.awaitConfirmation(string(statement.ID), length-1); err != nil {
			return exchange.Answer{}, err
		}
	}
	if answerLost {
		return exchange.Answer{}, errUnanswered
	}
	answer.State = st.state
	return answer, nil
}

// awaitConfirmation waits until a replica has received the log up to the index,
// and records the commit as acknowledged. It fails if the server stops or is no
// longer the primary, or if the connection ends.
func (st *stream) awaitConfirmation(id string, index int) error {
	cluster := st.server.cluster
	for {
		cluster.mu.Lock()
		server := st.server
		failed := !server.primary || !server.up || index >= len(server.log)
		if !failed && cluster.isConfirmed(server, index) {
			if !cluster.JudgeSuccesses {
				cluster.acknowledged = append(cluster.acknowledged, Commit{ID: server.log[index].id, Index: index, At: time.Now()})
			}
			cluster.mu.Unlock()
			return nil
		}
		changed := cluster.changed
		cluster.mu.Unlock()
		if failed {
			return errUnanswered
		}
		select {
		case <-st.closed:
			return errors.New("connection ended before " + id + " was confirmed")
		case <-changed:
		}
	}
}

// execute runs a statement and reports whether its answer must wait for the
// confirmation of a replica. The caller must hold the cluster's mutex.
func (st *stream) execute(statement exchange.Statement) (exchange.Answer, bool) {
	s := st.server
	fail := func(code exchange.Code) (exchange.Answer, bool) {
		if st.state == exchange.InTransaction {
			st.state = exchange.TransactionFailed
		}
		return exchange.Answer{Failure: &exchange.Error{Code: code, Text: string(s.id)}, Position: s.position(s.appliedCount)}, false
	}
	if accessesData(statement.Operation) && s.busy {
		return exchange.Answer{Failure: &exchange.Error{Code: exchange.Busy}, Position: s.position(s.appliedCount)}, false
	}
	if st.state == exchange.TransactionFailed && statement.Operation != exchange.Rollback {
		return fail(exchange.Malformed)
	}
	if st.state == exchange.InTransaction && !st.readOnly && !s.primary && (accessesData(statement.Operation) && (statement.Operation != exchange.Commit || len(st.pendingWrites) > 0)) {
		return fail(exchange.ReadOnly)
	}
	if !s.containsPosition(statement.MinPosition) {
		return fail(exchange.PositionNotReached)
	}
	answer := exchange.Answer{Position: s.position(s.appliedCount)}
	switch statement.Operation {
	case exchange.Set:
		if st.sessionValues == nil {
			st.sessionValues = map[string]string{}
		}
		st.sessionValues[statement.Name] = statement.Value
	case exchange.Prepare:
		if st.prepared == nil {
			st.prepared = map[string]exchange.PreparedStatement{}
		}
		st.prepared[statement.Name] = statement.Prepared
	case exchange.Release:
		delete(st.prepared, statement.Name)
	case exchange.Reset:
		st.sessionValues, st.prepared = nil, nil
	case exchange.Begin, exchange.BeginRead:
		st.readOnly = statement.Operation == exchange.BeginRead
		if !st.readOnly && !s.primary {
			return fail(exchange.ReadOnly)
		}
		st.state = exchange.InTransaction
	case exchange.Rollback:
		st.state, st.pendingWrites = exchange.Idle, nil
	case exchange.Commit:
		return st.commit(statement, answer)
	case exchange.Read, exchange.Write, exchange.Execute:
		return st.readOrWrite(statement, answer, fail)
	default:
		return s.runCommand(statement), false
	}
	return answer, false
}

// containsPosition reports whether the applied part of the log contains a
// position.
func (s *Server) containsPosition(p group.Position) bool {
	if p.IsZero() {
		return true
	}
	return s.term >= p.Term && s.appliedCount >= int(p.Offset)
}

// readOrWrite runs a read or a write, prepared or not.
func (st *stream) readOrWrite(statement exchange.Statement, answer exchange.Answer, fail func(exchange.Code) (exchange.Answer, bool)) (exchange.Answer, bool) {
	writes, text := statement.Operation == exchange.Write, ""
	if statement.Operation == exchange.Execute {
		prepared, ok := st.prepared[statement.Name]
		if !ok {
			return fail(exchange.NoStatement)
		}
		writes, text = prepared.Writes, prepared.Text
	}
	if writes && !st.server.primary {
		return fail(exchange.ReadOnly)
	}
	answer.Digest = st.recordExecution(statement, text)
	if !writes {
		answer.Rows = []string{statement.Arguments}
		return answer, false
	}
	if st.state == exchange.InTransaction {
		st.pendingWrites = append(st.pendingWrites, string(statement.ID))
		return answer, false
	}
	return st.append(string(statement.ID), answer), true
}

// commit commits the writes of the current transaction, if any.
func (st *stream) commit(statement exchange.Statement, answer exchange.Answer) (exchange.Answer, bool) {
	answer.Digest = st.recordExecution(statement, "")
	writes := st.pendingWrites
	st.state, st.pendingWrites = exchange.Idle, nil
	if len(writes) == 0 {
		return answer, false
	}
	return st.append(string(statement.ID), answer), true
}

// append appends a commit to the primary's log.
func (st *stream) append(id string, answer exchange.Answer) exchange.Answer {
	s := st.server
	s.log = append(slices.Clip(s.log), logEntry{id, s.term})
	s.appliedCount = len(s.log)
	answer.Position = s.position(s.appliedCount)
	return answer
}

// recordExecution records that a caller's statement ran and returns the digest of
// its result.
func (st *stream) recordExecution(statement exchange.Statement, text string) string {
	s := st.server
	cluster := s.cluster
	digest := "d" + strconv.Itoa(len(cluster.executions))
	execution := Execution{
		ID: string(statement.ID), Server: s.id, Digest: digest, Values: maps.Clone(st.sessionValues), Text: text,
		Connection: st.number, InTransaction: st.state == exchange.InTransaction, At: time.Now(),
	}
	cluster.executions = append(cluster.executions, recordedExecution{execution, s.log[:s.appliedCount]})
	return digest
}
