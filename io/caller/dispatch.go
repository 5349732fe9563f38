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

// maxAttempts bounds how often a batch without a request key is routed. It is
// routed again only after proof that the previous attempt had no effect.
const maxAttempts = 4

// dispatch runs a batch and answers it.
func (s *session) dispatch(ctx context.Context, b *batch) error {
	if s.conv == nil && s.status != statusIdle {
		return s.answerFailedTransaction(b)
	}
	if s.conv == nil && !b.needsServer() {
		return s.answerWithoutServer(b)
	}
	started := time.Now()
	servedBy := s.decision
	result := s.serve(ctx, b)
	if s.decision.Target.Server != "" {
		servedBy = s.decision
	}
	s.reportStatement(b, servedBy, result, time.Since(started))
	if result.fatal {
		return endSession(result.failure)
	}
	return s.finishAnswer(b, result.failure)
}

// serveResult is the result of running a batch.
type serveResult struct {
	// failure, if set, is sent in place of the rest of the answer.
	failure *outcome.Error
	// errorCode is the code of a server's error that was sent to the caller.
	errorCode outcome.SQLState
	// fatal is set if the session must end.
	fatal bool
	// retryable is set if the batch may be routed again: it had no effect or
	// runs under a request key, and no part of its answer was sent to the
	// caller.
	retryable bool
	// retryClass is the statement class to route the batch by if it is retried.
	retryClass statement.Class
}

func (s *session) reportStatement(b *batch, decision Decision, result serveResult, duration time.Duration) {
	event := StatementDone{Account: s.identity.Account, Class: b.class, Outcome: outcome.Done, Duration: duration}
	switch {
	case result.failure != nil:
		event.Outcome = result.failure.Outcome
	case result.errorCode != "":
		event.Outcome = outcome.NotRun
	}
	event.Served = decision.Target.Server != ""
	if decision.Primary {
		event.ServedBy = group.Primary
	}
	s.host.Observe(event)
}

// finishAnswer sends the end of the answer to a batch, preceded by the failure
// if there is one.
func (s *session) finishAnswer(b *batch, failure *outcome.Error) error {
	if failure != nil {
		s.dropHeld()
		s.send(errorResponse("ERROR", failure))
		s.skippingToSync = !b.synced
		for _, st := range b.steps {
			if st.defines != nil {
				s.removeDefinition(st.defines)
			}
		}
	}
	s.awaitingSync = !b.synced
	if b.synced {
		s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	}
	s.flush()
	return nil
}

// serve runs a batch: under its request key if it has one, otherwise with
// rerouting.
func (s *session) serve(ctx context.Context, b *batch) serveResult {
	if s.status == statusIdle && s.requestKey != "" && (b.mayWrite() || b.beginsTransaction) {
		return s.serveKeyed(ctx, b)
	}
	if s.keyed != nil {
		return s.continueKeyed(ctx, b)
	}
	result := s.serveWithRerouting(ctx, b)
	if s.conv == nil && s.beginSQL != "" {
		// The transaction could not be restarted.
		s.resetTransaction()
		s.status = statusFailed
	}
	return result
}

func (s *session) serveWithRerouting(ctx context.Context, b *batch) serveResult {
	class := b.class
	s.startQueueTimeout()
	defer func() { s.queueDeadline = time.Time{} }()
	var excluded []group.ServerID
	for attempt := 1; ; attempt++ {
		s.mark()
		result := s.attempt(ctx, b, class, excluded)
		if !result.retryable || attempt == maxAttempts || ctx.Err() != nil || s.queueExpired() {
			return result
		}
		// A write that a replica rejected is sent to the primary, which does not
		// count as a retry. Any other repetition uses the retry budget.
		if result.retryClass == class && !s.host.MayRetry(s.identity.Account) {
			return result
		}
		s.host.Observe(Rerouted{Target: s.decision.Target, Cause: result.failure})
		excluded = append(excluded, s.decision.Target.Server)
		class = result.retryClass
	}
}

// startQueueTimeout sets the deadline until which the request may wait for a
// server and a connection.
func (s *session) startQueueTimeout() {
	if s.identity.QueueTimeout > 0 {
		s.queueDeadline = time.Now().Add(s.identity.QueueTimeout)
	}
}

func (s *session) withQueueDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.queueDeadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, s.queueDeadline)
}

// queueExpired reports whether the queue deadline has passed.
func (s *session) queueExpired() bool {
	return !s.queueDeadline.IsZero() && !time.Now().Before(s.queueDeadline)
}

func (s *session) attempt(ctx context.Context, b *batch, class statement.Class, excluded []group.ServerID) serveResult {
	newConversation := s.conv == nil
	if newConversation {
		if result := s.connect(ctx, b, class, excluded); result.failure != nil {
			return result
		}
		if result := s.restartTransaction(ctx); result.failure != nil {
			return result
		}
	}
	beginSQL := s.restartableBegin(b)
	x := s.newExchange(b)
	steps, position := s.withPositionQuery(b)
	if err := x.run(ctx, steps); err != nil {
		result := s.handleLoss(b, newConversation, err)
		result.retryClass = class
		if beginSQL != "" && !result.fatal && s.discardAnswer() {
			return s.prepareRestart(beginSQL, result.failure)
		}
		return result
	}
	if beginSQL != "" && x.code == outcome.ReadOnlyTransaction && s.decision.Primary && s.rewind() {
		s.release(false)
		return s.prepareRestart(beginSQL, outcome.RolledBack("the primary is being replaced", nil))
	}
	if s.refusedAsReadOnly(b, x, newConversation) {
		s.release(!b.pins)
		s.resetTransaction()
		failure := outcome.Unavailable("no server accepted the write", nil)
		return serveResult{failure: failure, retryable: true, retryClass: statement.Write}
	}
	return s.finishBatch(ctx, b, x, position)
}

// restartableBegin returns the text of BEGIN if the transaction can be restarted
// on another server should this batch fail, and an empty string if not. The
// batch must be the first in the transaction and must not end it: until COMMIT
// is sent, the server rolls back a transaction whose connection is lost.
func (s *session) restartableBegin(b *batch) string {
	if s.status != statusInTransaction || !b.synced || b.endsTransaction || b.pins || b.changesSettings || s.pinned || s.requestedReadOnly {
		return ""
	}
	return s.beginSQL
}

// prepareRestart resets the session's transaction and returns a result that
// makes the batch run in a new transaction, probably on another server.
func (s *session) prepareRestart(beginSQL string, cause *outcome.Error) serveResult {
	s.resetTransaction()
	s.beginSQL = beginSQL
	return serveResult{failure: cause, retryable: true, retryClass: statement.Begin}
}

// restartTransaction begins the transaction again on a new connection if the
// caller's BEGIN has already been answered.
func (s *session) restartTransaction(ctx context.Context) serveResult {
	if s.beginSQL == "" {
		return serveResult{}
	}
	answers, err := s.runHidden(ctx, s.beginSQL)
	if err == nil && answers[0].code == "" {
		s.status = statusInTransaction
		return serveResult{}
	}
	s.release(false)
	failure := outcome.RolledBack("the transaction could not begin again", err)
	return serveResult{failure: failure, retryable: true, retryClass: statement.Begin}
}

// connect routes the batch and opens a conversation with the chosen server.
func (s *session) connect(ctx context.Context, b *batch, class statement.Class, excluded []group.ServerID) serveResult {
	limitedCtx, stop := s.withQueueDeadline(ctx)
	defer stop()
	waitCtx, cancel := context.WithCancelCause(limitedCtx)
	defer cancel(nil)
	s.setCancelWait(cancel)
	defer s.setCancelWait(nil)
	if len(s.startupStatements) > 0 && class == statement.Read {
		class = statement.SessionSetting // the session keeps the connection
	}
	s.decision = Decision{}
	decision, err := s.host.Route(waitCtx, Request{
		Identity: s.identity, SQL: b.sql, Class: class, Floor: s.floor, FloorKnown: s.floorKnown, Excluded: excluded,
	})
	if err != nil {
		return serveResult{failure: waitError(waitCtx, err)}
	}
	s.decision = decision
	s.raiseFloor(decision.Floor)
	conv, err := decision.Conversation, error(nil)
	s.decision.Conversation = nil
	if conv == nil {
		conv, err = s.host.Acquire(waitCtx, decision.Target)
	}
	if err != nil {
		failure := waitError(waitCtx, err)
		overloaded := failure.SQLState == outcome.TooManyConnections
		// A wait that ended by cancellation or timeout is not the server's fault.
		if !overloaded && waitCtx.Err() == nil {
			s.host.Observe(ConnectionLost{Target: decision.Target, Err: err})
		}
		retryable := failure.SQLState != queryCancelled && (!overloaded || !decision.Primary)
		return serveResult{failure: failure, retryable: retryable, retryClass: class}
	}
	s.conv = conv
	return s.applyStartupParameters(ctx)
}

// waitError converts the error of a wait for a server or connection. If a cancel
// request ended the wait, it returns the error for that request.
func waitError(ctx context.Context, err error) *outcome.Error {
	var cancelled *outcome.Error
	if errors.As(context.Cause(ctx), &cancelled) {
		return cancelled
	}
	return notRunError(err)
}

func (s *session) setCancelWait(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWait = cancel
}

// applyStartupParameters applies the start-up parameters to a new connection. The
// session then keeps the connection.
func (s *session) applyStartupParameters(ctx context.Context) serveResult {
	if len(s.startupStatements) == 0 {
		return serveResult{}
	}
	s.pinned = true
	x := &exchange{session: s, conv: s.conv}
	var steps []step
	for _, sql := range s.startupStatements {
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
		return serveResult{failure: outcome.Unavailable("the start-up parameters could not be applied", err), fatal: true}
	}
	return serveResult{}
}

// newExchange returns the exchange for a batch, after updating what is known
// about the transaction.
func (s *session) newExchange(b *batch) *exchange {
	s.mayHaveWritten = s.mayHaveWritten || b.mayWrite()
	if s.status == statusIdle && b.beginsTransaction {
		s.requestedReadOnly = b.readOnly
	}
	s.requestedReadOnly = s.requestedReadOnly || b.changesSettings
	return &exchange{session: s, conv: s.conv, holdEnd: b.synced && s.mayHaveWritten, status: s.status}
}

// withPositionQuery appends a query for the log position to a batch that may
// complete a write. A server that is not the primary returns no row, which
// proves that it wrote nothing.
func (s *session) withPositionQuery(b *batch) ([]step, *capture) {
	if !b.synced || !s.mayHaveWritten || b.copyIn || (s.status != statusIdle && !b.endsTransaction) {
		return b.steps, nil
	}
	position := &capture{}
	return append(b.steps[:len(b.steps):len(b.steps)], hiddenQuery(backendserver.PositionQuery, position)), position
}

// refusedAsReadOnly reports whether a batch failed only because its server does
// not accept writes, and can run on another server.
func (s *session) refusedAsReadOnly(b *batch, x *exchange, newConversation bool) bool {
	return x.code == outcome.ReadOnlyTransaction && newConversation && !s.pinned && b.synced && !b.readOnly &&
		x.status == statusIdle && !x.committed && s.rewind()
}

// handleLoss releases a lost connection and determines the outcome of the batch.
func (s *session) handleLoss(b *batch, newConversation bool, err error) serveResult {
	cause := unresolvedError(err)
	if s.err == nil && !errors.Is(err, context.Canceled) {
		s.host.Observe(ConnectionLost{Target: s.decision.Target, Err: err})
	}
	pinned, mayHaveWritten, statusBefore := s.pinned, s.mayHaveWritten, s.status
	s.release(false)
	s.resetTransaction()
	sent := cause.Outcome != outcome.NotRun
	result := serveResult{fatal: pinned}
	switch {
	case statusBefore != statusIdle && !b.commits && !b.endsTransaction:
		s.status = statusFailed
		result.failure = outcome.RolledBack("the transaction's connection was lost before COMMIT was sent", cause)
	case statusBefore != statusIdle && (!b.commits || !sent || !mayHaveWritten):
		result.failure = outcome.RolledBack("the transaction's connection was lost before COMMIT was sent", cause)
	case statusBefore != statusIdle:
		result.failure = outcome.Unresolved("the connection was lost before COMMIT was answered", cause)
	case !sent, b.beginsTransaction && !b.commits && !b.multiple:
		result.failure = outcome.Unavailable("the connection was lost before the request ran", cause)
		result.retryable = newConversation && s.discardAnswer()
	case !mayHaveWritten && !b.commits && !b.multiple:
		// On a replica a read has no effect, so it may run twice. On a primary
		// a read can write through a view.
		result.failure = outcome.Unresolved("the connection was lost before the answer was complete", cause)
		result.retryable = newConversation && !s.decision.Primary && s.discardAnswer()
	default:
		result.failure = outcome.Unresolved("the connection was lost before the answer was complete", cause)
	}
	return result
}

// discardAnswer drops the answer so far and reports whether that was possible,
// that is, whether no part of it has been sent.
func (s *session) discardAnswer() bool {
	return s.err == nil && s.rewind()
}

// resetTransaction clears the state of the session's transaction.
func (s *session) resetTransaction() {
	s.status = statusIdle
	s.mayHaveWritten, s.requestedReadOnly, s.hasEffect = false, false, false
	s.beginSQL, s.keyed = "", nil
	clear(s.portals)
}

// finishBatch updates the session after a batch and releases its answer. If the
// batch committed a write, it first waits for the confirmation.
func (s *session) finishBatch(ctx context.Context, b *batch, x *exchange, position *capture) serveResult {
	result := serveResult{errorCode: x.code}
	for _, p := range x.failedDefinitions {
		s.removeDefinition(p)
	}
	if !b.synced {
		s.beginSQL = ""
		s.stream.release()
		s.pinned = s.pinned || b.pins && x.code == ""
		s.skippingToSync = x.code != ""
		if s.skippingToSync && s.status == statusIdle {
			s.mayHaveWritten = false // rolled back
		}
		return result
	}
	statusBefore, mayHaveWritten, hasEffect := s.status, s.mayHaveWritten, s.hasEffect
	s.status = x.status
	if b.executeCount > 0 {
		s.beginSQL = ""
	}
	if statusBefore == statusIdle && s.status == statusInTransaction && b.beginsTransaction && b.executeCount == 1 && !b.readOnly {
		s.beginSQL = b.sql
	}
	committed := x.committed || x.code == "" && x.status == statusIdle && (statusBefore == statusIdle || x.completedCommands > 1)
	if committed && mayHaveWritten && position == nil && s.decision.Primary {
		position = &capture{}
		query := &exchange{session: s, conv: s.conv}
		if err := query.run(ctx, []step{hiddenQuery(backendserver.PositionQuery, position)}); err != nil {
			s.release(false)
		}
	}
	s.updateConnection(b, x)
	if committed && mayHaveWritten {
		if failure := s.confirm(ctx, position, hasEffect); failure != nil {
			s.dropHeld()
			result.failure = failure
			return result
		}
	}
	s.stream.release()
	return result
}

// updateConnection pins, unpins or releases the connection after a batch.
// Outside a transaction it releases a connection that is not pinned. It runs
// before the wait for a confirmation, because connections are scarce.
func (s *session) updateConnection(b *batch, x *exchange) {
	if b.pins && (x.code == "" || s.status != statusIdle) {
		s.pinned = true
	}
	if s.status != statusIdle {
		return
	}
	s.resetTransaction()
	if b.unpins && x.code == "" {
		s.pinned = false
		clear(s.statements)
		s.preparedSize = 0
	}
	if !s.pinned {
		// A failed statement may have left a session-level lock, unless the
		// server rejected it with a syntax error.
		s.release(!b.pins || x.code == syntaxError)
	}
}

// trackEffect updates, from a command tag, whether the transaction is known to
// have changed data. Tags without a row count are no proof: CREATE TABLE IF NOT
// EXISTS may change nothing. A rollback to a savepoint can undo all changes.
func (s *session) trackEffect(tag string) {
	command, rest, _ := strings.Cut(tag, " ")
	switch command {
	case "ROLLBACK":
		s.hasEffect = false
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COPY":
		count := rest[strings.LastIndexByte(rest, ' ')+1:]
		s.hasEffect = s.hasEffect || count != "" && count != "0"
	}
}

// confirm waits until the successor has the committed write, then raises the
// session's floor and sends the caller a new token.
func (s *session) confirm(ctx context.Context, positionAnswer *capture, hasEffect bool) *outcome.Error {
	if !s.decision.Primary && (positionAnswer == nil || positionAnswer.row == nil) {
		return nil // a replica, which wrote nothing
	}
	if positionAnswer == nil || positionAnswer.row == nil {
		return outcome.Unresolved("the position of the write is not known", nil)
	}
	position, generation, err := backendserver.ParsePosition(positionAnswer.row)
	if err != nil {
		return outcome.Unresolved("the position of the write is not known", err)
	}
	if position.Term != s.decision.Term {
		return outcome.Unresolved("the primary was replaced", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, s.identity.ConfirmationTimeout)
	defer cancel()
	if err := s.host.Confirm(ctx, s.identity.Group, generation, position, hasEffect); err != nil {
		return outcome.Unresolved("the write was not confirmed in time", err)
	}
	s.raiseFloor(position)
	s.hold(&pgproto3.ParameterStatus{Name: statement.Token, Value: s.token()})
	return nil
}
