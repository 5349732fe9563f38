package caller

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// maxAttempts bounds how often a batch is routed. Each attempt after the first
// follows a proof that the one before had no effect.
const maxAttempts = 4

// dispatch serves a batch and answers it.
func (s *session) dispatch(ctx context.Context, b *batch) error {
	if s.conv == nil && s.status != idle {
		return s.answerLost(b)
	}
	if s.conv == nil && !b.needsServer() {
		return s.answerAlone(b)
	}
	started := time.Now()
	served := s.decision
	v := s.serve(ctx, b)
	if s.decision.Target.Server != "" {
		served = s.decision
	}
	s.observe(b, served, v, time.Since(started))
	if v.fatal {
		return end(v.failure)
	}
	return s.conclude(b, v.failure)
}

// verdict is the result of serving a batch.
type verdict struct {
	// failure takes the place of the rest of the answer.
	failure *outcome.Error
	// code is that of an error that was passed on.
	code outcome.SQLState
	// fatal is set when the session cannot go on.
	fatal bool
	// again is set when the batch may be routed again: it had no effect, and
	// nothing of its answer was passed on.
	again bool
	class statement.Class
}

func (s *session) observe(b *batch, decision Decision, v verdict, took time.Duration) {
	done := StatementDone{Account: s.identity.Account, Class: b.class, Outcome: outcome.Done, Duration: took}
	switch {
	case v.failure != nil:
		done.Outcome = v.failure.Outcome
	case v.code != "":
		done.Outcome = outcome.NotRun
	}
	done.Served = decision.Target.Server != ""
	if decision.Primary {
		done.ServedBy = group.Primary
	}
	s.host.Observe(done)
}

// conclude ends the answer to a batch.
func (s *session) conclude(b *batch, failure *outcome.Error) error {
	if failure != nil {
		s.dropHeld()
		s.send(response("ERROR", failure))
		s.skipping = !b.synced
		for _, st := range b.steps {
			if st.defines != nil {
				s.undefine(st.defines)
			}
		}
	}
	s.unsynced = !b.synced
	if b.synced {
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	}
	s.flush()
	return nil
}

// serve runs a batch, routing it again while that is safe.
func (s *session) serve(ctx context.Context, b *batch) verdict {
	if s.status == idle && s.key != "" && (b.wrote() || b.begins) {
		return s.serveKeyed(ctx, b)
	}
	if s.keyed != nil {
		return s.continueKeyed(ctx, b)
	}
	v := s.serveRouted(ctx, b)
	if s.conv == nil && s.begun != "" {
		// The transaction could not begin again.
		s.endTransaction()
		s.status = failed
	}
	return v
}

func (s *session) serveRouted(ctx context.Context, b *batch) verdict {
	class := b.class
	s.limitQueue()
	defer func() { s.queueDeadline = time.Time{} }()
	var excluded []group.ServerID
	for attempt := 1; ; attempt++ {
		s.mark()
		v := s.attempt(ctx, b, class, excluded)
		if !v.again || attempt == maxAttempts || ctx.Err() != nil || s.queueExpired() {
			return v
		}
		// A write that a replica refused goes to the primary at once; any other
		// repetition counts as a retry.
		if v.class == class && !s.host.MayRetry(s.identity.Account) {
			return v
		}
		s.host.Observe(Rerouted{Target: s.decision.Target, Cause: v.failure})
		excluded = append(excluded, s.decision.Target.Server)
		class = v.class
	}
}

// limitQueue starts the time that the request may wait to be sent.
func (s *session) limitQueue() {
	if s.identity.QueueTimeout > 0 {
		s.queueDeadline = time.Now().Add(s.identity.QueueTimeout)
	}
}

func (s *session) limited(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.queueDeadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, s.queueDeadline)
}

// queueExpired reports whether the request may not wait any longer.
func (s *session) queueExpired() bool {
	return !s.queueDeadline.IsZero() && !time.Now().Before(s.queueDeadline)
}

func (s *session) attempt(ctx context.Context, b *batch, class statement.Class, excluded []group.ServerID) verdict {
	fresh := s.conv == nil
	if fresh {
		if v := s.connect(ctx, b, class, excluded); v.failure != nil {
			return v
		}
		if v := s.beginAgain(ctx); v.failure != nil {
			return v
		}
	}
	begun := s.mayBeginAgain(b)
	x := s.exchange(b)
	steps, position := s.withPosition(b)
	if err := x.run(ctx, steps); err != nil {
		v := s.lost(b, fresh, err)
		v.class = class
		if begun != "" && !v.fatal && s.mayRepeat() {
			return s.leaveTransaction(begun, v.failure)
		}
		return v
	}
	if begun != "" && x.code == outcome.ReadOnlyTransaction && s.decision.Primary && s.rewind() {
		s.release(false)
		return s.leaveTransaction(begun, outcome.RolledBack("the primary is being replaced", nil))
	}
	if s.refusedAsReadOnly(b, x, fresh) {
		s.release(!b.pins)
		s.endTransaction()
		failure := outcome.Unavailable("no server accepted the write", nil)
		return verdict{failure: failure, again: true, class: statement.Write}
	}
	return s.complete(ctx, b, x, position)
}

// mayBeginAgain returns the text of BEGIN if the batch is the first in its
// transaction and does not end it. Until COMMIT is sent the server is certain
// to roll back a transaction whose connection is lost.
func (s *session) mayBeginAgain(b *batch) string {
	if s.status != open || !b.synced || b.ends || b.pins || b.settings || s.pinned || s.readOnly {
		return ""
	}
	return s.begun
}

// leaveTransaction prepares to begin the transaction again elsewhere.
func (s *session) leaveTransaction(begun string, cause *outcome.Error) verdict {
	s.endTransaction()
	s.begun = begun
	return verdict{failure: cause, again: true, class: statement.Begin}
}

// beginAgain begins a transaction on a new connection for a caller whose BEGIN
// was answered already.
func (s *session) beginAgain(ctx context.Context) verdict {
	if s.begun == "" {
		return verdict{}
	}
	done, err := s.hidden(ctx, s.begun)
	if err == nil && done[0].code == "" {
		s.status = open
		return verdict{}
	}
	s.release(false)
	failure := outcome.RolledBack("the transaction could not begin again", err)
	return verdict{failure: failure, again: true, class: statement.Begin}
}

// connect routes the batch and opens a conversation.
func (s *session) connect(ctx context.Context, b *batch, class statement.Class, excluded []group.ServerID) verdict {
	limited, stop := s.limited(ctx)
	defer stop()
	waiting, cancel := context.WithCancelCause(limited)
	defer cancel(nil)
	s.setInterrupt(cancel)
	defer s.setInterrupt(nil)
	if len(s.settings) > 0 && class == statement.Read {
		class = statement.SessionSetting // the connection will be kept
	}
	s.decision = Decision{}
	decision, err := s.host.Route(waiting, Request{
		Identity: s.identity, SQL: b.sql, Class: class, Floor: s.floor, FloorKnown: s.floorKnown, Excluded: excluded,
	})
	if err != nil {
		return verdict{failure: interruption(waiting, err)}
	}
	s.decision = decision
	s.raise(decision.Floor)
	conv, err := decision.Conversation, error(nil)
	s.decision.Conversation = nil
	if conv == nil {
		conv, err = s.host.Acquire(waiting, decision.Target)
	}
	if err != nil {
		failure := interruption(waiting, err)
		overloaded := failure.SQLState == outcome.TooManyConnections
		// A wait that the caller ended says nothing about the server.
		if !overloaded && waiting.Err() == nil {
			s.host.Observe(ConnectionLost{Target: decision.Target, Err: err})
		}
		again := failure.SQLState != queryCancelled && (!overloaded || !decision.Primary)
		return verdict{failure: failure, again: again, class: class}
	}
	s.conv = conv
	return s.applySettings(ctx)
}

// interruption returns the cancel request that ended a wait, or its error.
func interruption(ctx context.Context, err error) *outcome.Error {
	var cancelled *outcome.Error
	if errors.As(context.Cause(ctx), &cancelled) {
		return cancelled
	}
	return notRun(err)
}

func (s *session) setInterrupt(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupt = cancel
}

// applySettings applies the start-up parameters to a new connection, which the
// session then keeps.
func (s *session) applySettings(ctx context.Context) verdict {
	if len(s.settings) == 0 {
		return verdict{}
	}
	s.pinned = true
	x := &exchange{session: s, conv: s.conv}
	var steps []step
	for _, sql := range s.settings {
		steps = append(steps, hiddenQuery(sql, &capture{}))
	}
	err := x.run(ctx, steps)
	for _, st := range steps {
		if err == nil && st.capture.code != "" {
			err = errors.New(st.capture.err.Message)
		}
	}
	if err != nil {
		s.release(false)
		return verdict{failure: outcome.Unavailable("the start-up parameters could not be applied", err), fatal: true}
	}
	return verdict{}
}

func (s *session) exchange(b *batch) *exchange {
	s.wrote = s.wrote || b.wrote()
	if s.status == idle && b.begins {
		s.readOnly = b.readOnly
	}
	s.readOnly = s.readOnly || b.settings
	return &exchange{session: s, conv: s.conv, gated: b.synced && s.wrote, status: s.status}
}

// withPosition appends the position query to a batch that may end a write. A
// server that is not the primary answers it without a row, which proves that
// it wrote nothing.
func (s *session) withPosition(b *batch) ([]step, *capture) {
	if !b.synced || !s.wrote || b.copyIn || (s.status != idle && !b.ends) {
		return b.steps, nil
	}
	position := &capture{}
	return append(b.steps[:len(b.steps):len(b.steps)], hiddenQuery(backendserver.PositionQuery, position)), position
}

// refusedAsReadOnly reports whether a batch failed only because its server
// does not accept writes, and can run elsewhere.
func (s *session) refusedAsReadOnly(b *batch, x *exchange, fresh bool) bool {
	return x.code == outcome.ReadOnlyTransaction && fresh && !s.pinned && b.synced && !b.readOnly &&
		x.status == idle && !x.committed && s.rewind()
}

// lost decides the outcome after the conversation was lost.
func (s *session) lost(b *batch, fresh bool, err error) verdict {
	cause := unresolved(err)
	if s.err == nil && !errors.Is(err, context.Canceled) {
		s.host.Observe(ConnectionLost{Target: s.decision.Target, Err: err})
	}
	pinned, wrote, before := s.pinned, s.wrote, s.status
	s.release(false)
	s.endTransaction()
	sent := cause.Outcome != outcome.NotRun
	v := verdict{fatal: pinned}
	switch {
	case before != idle && !b.commits && !b.ends:
		s.status = failed
		v.failure = outcome.RolledBack("the transaction's connection was lost before COMMIT was sent", cause)
	case before != idle && (!b.commits || !sent || !wrote):
		v.failure = outcome.RolledBack("the transaction's connection was lost before COMMIT was sent", cause)
	case before != idle:
		v.failure = outcome.Unresolved("the connection was lost before COMMIT was answered", cause)
	case !sent, b.begins && !b.commits && !b.multiple:
		v.failure = outcome.Unavailable("the connection was lost before the request ran", cause)
		v.again = fresh && s.mayRepeat()
	case !wrote && !b.commits && !b.multiple:
		// On a replica a read has no effect, so it may run twice. On a primary
		// even a read may write, by way of a view.
		v.failure = outcome.Unresolved("the connection was lost before the answer was complete", cause)
		v.again = fresh && !s.decision.Primary && s.mayRepeat()
	default:
		v.failure = outcome.Unresolved("the connection was lost before the answer was complete", cause)
	}
	return v
}

// mayRepeat drops the answer so far and reports whether that was possible.
func (s *session) mayRepeat() bool {
	return s.err == nil && s.rewind()
}

// endTransaction resets what belongs to a transaction.
func (s *session) endTransaction() {
	s.status = idle
	s.wrote, s.readOnly, s.effect = false, false, false
	s.begun, s.keyed = "", nil
	clear(s.portals)
}

// complete releases the answer, after the confirmation of what was committed.
func (s *session) complete(ctx context.Context, b *batch, x *exchange, position *capture) verdict {
	v := verdict{code: x.code}
	for _, p := range x.undefined {
		s.undefine(p)
	}
	if !b.synced {
		s.begun = ""
		s.stream.release()
		s.pinned = s.pinned || b.pins && x.code == ""
		s.skipping = x.code != ""
		if s.skipping && s.status == idle {
			s.wrote = false // rolled back
		}
		return v
	}
	before, wrote, effect := s.status, s.wrote, s.effect
	s.status = x.status
	if b.executed > 0 {
		s.begun = ""
	}
	if before == idle && s.status == open && b.begins && b.executed == 1 && !b.readOnly {
		s.begun = b.sql
	}
	committed := x.committed || x.code == "" && x.status == idle && (before == idle || x.tags > 1)
	if committed && wrote && position == nil && s.decision.Primary {
		position = &capture{}
		fetch := &exchange{session: s, conv: s.conv}
		if err := fetch.run(ctx, []step{hiddenQuery(backendserver.PositionQuery, position)}); err != nil {
			s.release(false)
		}
	}
	s.afterBatch(b, x)
	if committed && wrote {
		if failure := s.confirm(ctx, position, effect); failure != nil {
			s.dropHeld()
			v.failure = failure
			return v
		}
	}
	s.stream.release()
	return v
}

// afterBatch gives the connection back between transactions, before the wait
// for a confirmation, because connections are scarce.
func (s *session) afterBatch(b *batch, x *exchange) {
	if b.pins && (x.code == "" || s.status != idle) {
		s.pinned = true
	}
	if s.status != idle {
		return
	}
	s.endTransaction()
	if b.unpins && x.code == "" {
		s.pinned = false
		clear(s.statements)
		s.preparedSize = 0
	}
	if !s.pinned {
		// A statement that failed may still have left a lock of the session,
		// unless the server could not even parse it.
		s.release(!b.pins || x.code == syntaxError)
	}
}

// noteEffect tracks whether the transaction so far certainly changed something,
// by its command tags. Tags without a count prove nothing: CREATE TABLE IF NOT
// EXISTS may change nothing. A rollback to a savepoint takes changes back.
func (s *session) noteEffect(tag string) {
	command, rest, _ := strings.Cut(tag, " ")
	switch command {
	case "ROLLBACK":
		s.effect = false
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COPY":
		count := rest[strings.LastIndexByte(rest, ' ')+1:]
		s.effect = s.effect || count != "" && count != "0"
	}
}

// confirm waits until the successor has what was committed.
func (s *session) confirm(ctx context.Context, position *capture, effect bool) *outcome.Error {
	if !s.decision.Primary && (position == nil || position.row == nil) {
		return nil // a replica
	}
	if position == nil || position.row == nil {
		return outcome.Unresolved("the position of the write is not known", nil)
	}
	at, generation, err := backendserver.ParsePosition(position.row)
	if err != nil {
		return outcome.Unresolved("the position of the write is not known", err)
	}
	if at.Term != s.decision.Term {
		return outcome.Unresolved("the primary was replaced", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, s.identity.ConfirmationTimeout)
	defer cancel()
	if err := s.host.Confirm(ctx, s.identity.Group, generation, at, effect); err != nil {
		return outcome.Unresolved("the write was not confirmed in time", err)
	}
	s.raise(at)
	s.hold(&pgproto3.ParameterStatus{Name: statement.Token, Value: s.token()})
	return nil
}
