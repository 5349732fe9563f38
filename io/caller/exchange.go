package caller

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/io/backendserver"
)

// exchange is one run of steps on a conversation.
type exchange struct {
	*session
	conv  backendserver.Conversation
	steps []step // that are not answered yet
	// gated is set when the end of the answer is held until the caller may
	// have it.
	gated bool
	// sticky is set once a COMMIT was answered: from there on the whole answer
	// is held, because what precedes the end is an acknowledgement already.
	sticky bool

	// status is the transaction status of the last visible ReadyForQuery.
	status byte
	// code is that of the first visible error.
	code      outcome.SQLState
	committed bool // a COMMIT was answered
	tags      int  // answered commands
	writeTags []string
	// undefined are the statements whose Parse failed or was skipped.
	undefined []*prepared
}

var (
	errTooMuchHeld = errors.New("the answer behind a commit is too large to be withheld")
	errCallerGone  = errors.New("the caller ended the connection during COPY")
)

// run sends the steps in one flush and passes on their answers. An error means
// that the conversation is lost.
func (x *exchange) run(ctx context.Context, steps []step) error {
	x.setRunning(x.conv)
	defer x.setRunning(nil)
	x.steps = steps
	var messages []pgproto3.FrontendMessage
	unsynced := false
	for _, st := range steps {
		if st.message != nil {
			messages = append(messages, st.message)
			unsynced = st.answer != readyAnswer
		}
	}
	if unsynced {
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

// advance answers a local step or receives one message.
func (x *exchange) advance(ctx context.Context) error {
	st := &x.steps[0]
	if st.message == nil {
		x.steps = x.steps[1:]
		for _, m := range st.local {
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
		st.capture.keep(m)
		return nil
	}
	if done, ok := m.(*pgproto3.CommandComplete); ok {
		x.tags++
		x.noteEffect(string(done.CommandTag))
		if st.write {
			x.writeTags = append(x.writeTags, string(done.CommandTag))
		}
	}
	return x.emit(m)
}

// classifyAnswer reports whether a message completes the answer to a step, and
// whether it belongs to one at all.
func classifyAnswer(a answer, m pgproto3.BackendMessage) (completes, expected bool) {
	if a == readyAnswer {
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
		return true, a == parseAnswer
	case *pgproto3.BindComplete:
		return true, a == bindAnswer
	case *pgproto3.CloseComplete:
		return true, a == closeAnswer
	case *pgproto3.ParameterDescription:
		return false, a == describeAnswer
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return true, a == describeAnswer
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return true, a == executeAnswer
	default:
		return false, a == executeAnswer
	}
}

func (c *capture) keep(m pgproto3.BackendMessage) {
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

// receiveError passes on an error. In the extended protocol the server skips
// everything up to Sync.
func (x *exchange) receiveError(m *pgproto3.ErrorResponse) error {
	st := x.steps[0]
	if st.answer == readyAnswer && st.capture != nil {
		kept := *m
		st.capture.code, st.capture.err = m.Code, &kept
		return nil
	}
	for len(x.steps) > 0 && x.steps[0].answer != readyAnswer {
		if p := x.steps[0].defines; p != nil {
			x.undefined = append(x.undefined, p)
		}
		x.steps = x.steps[1:]
	}
	if st.refused != nil {
		m = response("ERROR", st.refused)
	}
	if x.code == "" {
		x.code = outcome.SQLState(m.Code)
	}
	if x.code == outcome.ReadOnlyTransaction && x.session.status != idle && x.decision.Primary && !x.readOnly && !x.pinned {
		// The primary began to refuse writes during the transaction.
		m = response("ERROR", outcome.RolledBack("the primary is being replaced", nil))
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

// emit passes a message on or holds it. Of an answer that is not sticky only
// the last CommandComplete and what follows it is held.
func (x *exchange) emit(m pgproto3.BackendMessage) error {
	if !x.gated {
		x.send(m)
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.CommandComplete:
		if !x.sticky {
			x.stream.release()
		}
		tag := string(m.CommandTag)
		if tag == "COMMIT" || tag == "PREPARE TRANSACTION" {
			x.committed, x.sticky = true, true
		}
		return x.keep(m)
	case *pgproto3.CloseComplete, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		if len(x.held) > 0 {
			return x.keep(m)
		}
	}
	if x.sticky {
		return x.keep(m)
	}
	x.stream.release()
	x.send(m)
	return nil
}

func (x *exchange) keep(m pgproto3.BackendMessage) error {
	if !x.hold(m) {
		return errTooMuchHeld
	}
	return nil
}

// copyIn passes the caller's data on until its end.
func (x *exchange) copyIn(ctx context.Context) error {
	x.stream.release()
	x.flush()
	for {
		m, err := x.backend.Receive()
		if err != nil {
			x.fail(err)
			return errCallerGone
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			err = x.conv.Send(ctx, m)
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
