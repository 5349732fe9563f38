package caller

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/io/backendserver"
)

// exchange sends the steps of a batch on a conversation and passes the answers
// to the caller.
type exchange struct {
	*session
	conv  backendserver.Conversation
	steps []step // not yet answered
	// holdEnd is set if the end of the answer must be held until the write is
	// confirmed.
	holdEnd bool
	// holdAll is set once a COMMIT was answered. From then on the whole answer
	// is held, because any further answer would acknowledge the commit.
	holdAll bool

	// status is the transaction status of the last ReadyForQuery whose answer
	// was not captured.
	status byte
	// code is the code of the first error whose answer was not captured.
	code              outcome.SQLState
	committed         bool     // a COMMIT was answered
	completedCommands int      // number of CommandComplete messages
	writeTags         []string // command tags of statements that may write
	// failedDefinitions are the statements whose Parse failed or was skipped.
	failedDefinitions []*preparedStatement
}

var (
	errHeldAnswerTooLarge = errors.New("the answer held until the commit is confirmed is too large")
	errCallerDisconnected = errors.New("the caller disconnected during COPY")
)

// run sends the steps in one flush and passes the answers to the caller. An
// error means that the conversation is lost.
func (x *exchange) run(ctx context.Context, steps []step) error {
	x.setRunning(x.conv)
	defer x.setRunning(nil)
	x.steps = steps
	var messages []pgproto3.FrontendMessage
	needsFlush := false
	for _, st := range steps {
		if st.message != nil {
			messages = append(messages, st.message)
			needsFlush = st.answer != readyAnswer
		}
	}
	if needsFlush {
		messages = append(messages, &pgproto3.Flush{})
	}
	if len(messages) > 0 {
		if err := x.conv.Send(ctx, messages...); err != nil {
			return err
		}
	}
	for len(x.steps) > 0 {
		if err := x.advance(ctx); err != nil {
			return err
		}
	}
	return nil
}

// advance answers the next step if it is local, otherwise it receives and
// processes one message.
func (x *exchange) advance(ctx context.Context) error {
	st := &x.steps[0]
	if st.message == nil {
		x.steps = x.steps[1:]
		for _, m := range st.localMessages {
			if err := x.emit(m); err != nil {
				return err
			}
		}
		return nil
	}
	m, err := x.conv.Receive(ctx)
	if err != nil {
		return err
	}
	if x.err != nil {
		return x.err
	}
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		return x.receiveError(m)
	case *pgproto3.ReadyForQuery:
		return x.receiveReady(m)
	case *pgproto3.ParameterStatus:
		return x.emit(m)
	case *pgproto3.NotificationResponse:
		if x.pinned {
			return x.emit(m)
		}
		return nil
	case *pgproto3.CopyInResponse:
		if err := x.emit(m); err != nil {
			return err
		}
		return x.copyIn(ctx)
	}
	return x.receiveAnswer(st, m)
}

func (x *exchange) receiveAnswer(st *step, m pgproto3.BackendMessage) error {
	completes, expected := classifyAnswer(st.answer, m)
	if !expected {
		return fmt.Errorf("unexpected message %T", m)
	}
	if completes {
		x.steps = x.steps[1:]
	}
	if st.capture != nil {
		st.capture.record(m)
		return nil
	}
	if completion, ok := m.(*pgproto3.CommandComplete); ok {
		x.completedCommands++
		x.trackEffect(string(completion.CommandTag))
		if st.write {
			x.writeTags = append(x.writeTags, string(completion.CommandTag))
		}
	}
	return x.emit(m)
}

// classifyAnswer reports whether a message completes the answer of the given
// kind, and whether the message is allowed in such an answer.
func classifyAnswer(kind answerKind, m pgproto3.BackendMessage) (completes, expected bool) {
	if kind == readyAnswer {
		switch m.(type) {
		case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
			return false, false
		}
		return false, true
	}
	switch m.(type) {
	case *pgproto3.NoticeResponse:
		return false, true
	case *pgproto3.ParseComplete:
		return true, kind == parseAnswer
	case *pgproto3.BindComplete:
		return true, kind == bindAnswer
	case *pgproto3.CloseComplete:
		return true, kind == closeAnswer
	case *pgproto3.ParameterDescription:
		return false, kind == describeAnswer
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return true, kind == describeAnswer
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true, kind == executeAnswer
	default:
		return false, kind == executeAnswer
	}
}

// record stores the row or command tag of a captured answer.
func (c *capture) record(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.DataRow:
		c.row = nil
		for _, value := range m.Values {
			c.row = append(c.row, append([]byte(nil), value...))
		}
	case *pgproto3.CommandComplete:
		c.tag = string(m.CommandTag)
	}
}

// receiveError passes an error to the caller. In the extended protocol the
// server then skips all messages up to Sync, so their steps are dropped.
func (x *exchange) receiveError(m *pgproto3.ErrorResponse) error {
	st := x.steps[0]
	if st.answer == readyAnswer && st.capture != nil {
		errorCopy := *m
		st.capture.code, st.capture.err = m.Code, &errorCopy
		return nil
	}
	for len(x.steps) > 0 && x.steps[0].answer != readyAnswer {
		if p := x.steps[0].defines; p != nil {
			x.failedDefinitions = append(x.failedDefinitions, p)
		}
		x.steps = x.steps[1:]
	}
	if st.errorOverride != nil {
		m = errorResponse("ERROR", st.errorOverride)
	}
	if x.code == "" {
		x.code = outcome.SQLState(m.Code)
	}
	if x.code == outcome.ReadOnlyTransaction && x.session.status != statusIdle && x.decision.Primary && !x.requestedReadOnly && !x.pinned {
		// The primary started to reject writes during the transaction.
		m = errorResponse("ERROR", outcome.RolledBack("the primary is being replaced", nil))
	}
	return x.emit(m)
}

func (x *exchange) receiveReady(m *pgproto3.ReadyForQuery) error {
	st := x.steps[0]
	if st.answer != readyAnswer {
		return errors.New("unexpected ReadyForQuery")
	}
	x.steps = x.steps[1:]
	if st.capture == nil {
		x.status = m.TxStatus
	}
	return nil
}

// emit sends a message to the caller or holds it. If holdEnd is set, it holds the
// last CommandComplete and what follows it; after a COMMIT it holds everything.
func (x *exchange) emit(m pgproto3.BackendMessage) error {
	if !x.holdEnd {
		x.send(m)
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		if !x.holdAll {
			x.stream.release()
		}
		tag := string(m.CommandTag)
		if tag == "COMMIT" || tag == "PREPARE TRANSACTION" {
			x.committed, x.holdAll = true, true
		}
		return x.withhold(m)
	case *pgproto3.CloseComplete, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		if len(x.held) > 0 {
			return x.withhold(m)
		}
	}
	if x.holdAll {
		return x.withhold(m)
	}
	x.stream.release()
	x.send(m)
	return nil
}

// withhold holds a message and fails if the held answer has become too large.
func (x *exchange) withhold(m pgproto3.BackendMessage) error {
	if !x.hold(m) {
		return errHeldAnswerTooLarge
	}
	return nil
}

// copyIn forwards the caller's COPY data to the server until the data ends.
func (x *exchange) copyIn(ctx context.Context) error {
	x.stream.release()
	x.flush()
	for {
		m, err := x.backend.Receive()
		if err != nil {
			x.setError(err)
			return errCallerDisconnected
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			err = x.conv.Send(ctx, m)
			forget(m)
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			return x.conv.Send(ctx, m)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return x.conv.Send(ctx, &pgproto3.CopyFail{Message: "unexpected message during COPY from stdin"})
		}
		if err != nil {
			return err
		}
	}
}
