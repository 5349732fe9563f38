package peer

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/exchange"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/io/peer/peerpb"
)

var operationCodes = codes[exchange.Operation, peerpb.Operation]{
	exchange.Begin: peerpb.Operation_OPERATION_BEGIN, exchange.BeginRead: peerpb.Operation_OPERATION_BEGIN_READ,
	exchange.Commit: peerpb.Operation_OPERATION_COMMIT, exchange.Rollback: peerpb.Operation_OPERATION_ROLLBACK,
	exchange.Read: peerpb.Operation_OPERATION_READ, exchange.Write: peerpb.Operation_OPERATION_WRITE,
	exchange.Set: peerpb.Operation_OPERATION_SET, exchange.Prepare: peerpb.Operation_OPERATION_PREPARE,
	exchange.Execute: peerpb.Operation_OPERATION_EXECUTE, exchange.Release: peerpb.Operation_OPERATION_RELEASE,
	exchange.Reset: peerpb.Operation_OPERATION_RESET, exchange.Status: peerpb.Operation_OPERATION_STATUS,
	exchange.Suspend: peerpb.Operation_OPERATION_SUSPEND, exchange.Resume: peerpb.Operation_OPERATION_RESUME,
	exchange.Demote: peerpb.Operation_OPERATION_DEMOTE,
}

var failureCodes = codes[exchange.Code, peerpb.FailureCode]{
	exchange.Busy: peerpb.FailureCode_FAILURE_CODE_BUSY, exchange.PositionNotReached: peerpb.FailureCode_FAILURE_CODE_POSITION_NOT_REACHED,
	exchange.ReadOnly: peerpb.FailureCode_FAILURE_CODE_READ_ONLY, exchange.WrongServer: peerpb.FailureCode_FAILURE_CODE_WRONG_SERVER,
	exchange.TooManyConnections: peerpb.FailureCode_FAILURE_CODE_TOO_MANY_CONNECTIONS, exchange.NoStatement: peerpb.FailureCode_FAILURE_CODE_NO_STATEMENT,
	exchange.ExecutionFailed: peerpb.FailureCode_FAILURE_CODE_EXECUTION_FAILED, exchange.TimedOut: peerpb.FailureCode_FAILURE_CODE_TIMED_OUT,
	exchange.Aborted: peerpb.FailureCode_FAILURE_CODE_ABORTED, exchange.InDoubt: peerpb.FailureCode_FAILURE_CODE_IN_DOUBT,
	exchange.NoDatabase: peerpb.FailureCode_FAILURE_CODE_NO_DATABASE, exchange.TooLarge: peerpb.FailureCode_FAILURE_CODE_TOO_LARGE,
	exchange.Malformed: peerpb.FailureCode_FAILURE_CODE_MALFORMED, exchange.Unauthorised: peerpb.FailureCode_FAILURE_CODE_UNAUTHORISED,
}

var stateCodes = codes[exchange.State, peerpb.TransactionState]{
	exchange.Idle: peerpb.TransactionState_TRANSACTION_STATE_IDLE, exchange.InTransaction: peerpb.TransactionState_TRANSACTION_STATE_OPEN,
	exchange.TransactionFailed: peerpb.TransactionState_TRANSACTION_STATE_FAILED,
}

// codes maps values to their codes in messages. Unknown ones map to zero.
type codes[V, C ~int | ~int32] map[V]C

// value returns the value of a code.
func (c codes[V, C]) value(code C) V {
	for value, known := range c {
		if known == code {
			return value
		}
	}
	return 0
}

func encodeBatch(b gateway.Batch) *peerpb.Batch {
	m := &peerpb.Batch{
		Server: string(b.Server), Exclusive: b.Exclusive, Account: string(b.Account), Priority: int32(b.Priority), MaxWaitMicroseconds: b.TimeForAnswer.Microseconds(), //nolint:gosec // priorities are small
		WaitLimitMicroseconds: b.WaitLimit.Microseconds(),
	}
	if b.Desired != nil {
		m.Desired = &peerpb.SessionState{}
		for name, value := range b.Desired.Values {
			m.Desired.Values = append(m.Desired.Values, &peerpb.SessionValue{Name: []byte(name), Value: []byte(value)})
		}
		for name, prepared := range b.Desired.Prepared {
			m.Desired.Prepared = append(m.Desired.Prepared, &peerpb.NamedStatement{Name: []byte(name), Prepared: encodePrepared(prepared)})
		}
	}
	for _, s := range b.Statements {
		m.Statements = append(m.Statements, encodeStatement(s))
	}
	return m
}

// errEmptyBatch is returned for a batch without a statement.
var errEmptyBatch = errors.New("batch without a statement")

func decodeBatch(m *peerpb.Batch) (gateway.Batch, error) {
	b := gateway.Batch{
		Server: group.ServerID(m.GetServer()), Exclusive: m.GetExclusive(), Account: account.ID(m.GetAccount()), Priority: int(m.GetPriority()),
		TimeForAnswer: time.Duration(m.GetMaxWaitMicroseconds()) * time.Microsecond, WaitLimit: time.Duration(m.GetWaitLimitMicroseconds()) * time.Microsecond,
	}
	if desired := m.GetDesired(); desired != nil {
		b.Desired = &link.SessionState{Values: map[string]string{}, Prepared: map[string]exchange.PreparedStatement{}}
		for _, v := range desired.GetValues() {
			b.Desired.Values[string(v.GetName())] = string(v.GetValue())
		}
		for _, p := range desired.GetPrepared() {
			b.Desired.Prepared[string(p.GetName())] = decodePrepared(p.GetPrepared())
		}
	}
	for _, s := range m.GetStatements() {
		statement := decodeStatement(s)
		if statement.Operation == exchange.Invalid {
			return gateway.Batch{}, eris.Errorf("unknown operation %v", s.GetOperation())
		}
		b.Statements = append(b.Statements, statement)
	}
	if len(b.Statements) == 0 {
		return gateway.Batch{}, errEmptyBatch
	}
	return b, nil
}

func encodePrepared(p exchange.PreparedStatement) *peerpb.PreparedStatement {
	return &peerpb.PreparedStatement{Writes: p.Writes, Text: []byte(p.Text)}
}

func decodePrepared(m *peerpb.PreparedStatement) exchange.PreparedStatement {
	return exchange.PreparedStatement{Writes: m.GetWrites(), Text: string(m.GetText())}
}

func encodeStatement(s exchange.Statement) *peerpb.Statement {
	m := &peerpb.Statement{
		Id: []byte(s.ID), Operation: operationCodes[s.Operation], Name: []byte(s.Name), Value: []byte(s.Value), Arguments: []byte(s.Arguments),
		MinTerm: int64(s.MinPosition.Term), MinOffset: int64(s.MinPosition.Offset), Term: int64(s.Term),
	}
	if s.Operation == exchange.Prepare {
		m.Prepared = encodePrepared(s.Prepared)
	}
	return m
}

func decodeStatement(m *peerpb.Statement) exchange.Statement {
	return exchange.Statement{
		ID: exchange.StatementID(m.GetId()), Operation: operationCodes.value(m.GetOperation()), Name: string(m.GetName()), Value: string(m.GetValue()),
		Prepared: decodePrepared(m.GetPrepared()), Arguments: string(m.GetArguments()),
		MinPosition: group.Position{Term: group.Term(m.GetMinTerm()), Offset: group.Offset(m.GetMinOffset())}, Term: group.Term(m.GetTerm()),
	}
}

func encodeResult(r gateway.Result) *peerpb.BatchResult {
	m := &peerpb.BatchResult{}
	if r.Err != nil {
		m.Refusal, m.Reason = refusalOf(r.Err), []byte(r.Err.Error())
	}
	for _, a := range r.Answers {
		m.Answers = append(m.Answers, encodeAnswer(a))
	}
	if load := r.Load; load != nil {
		m.Load = &peerpb.ServerLoad{InUse: int32(load.InUse), Waiting: int32(load.Waiting), LatencyMicroseconds: load.Latency.Microseconds()} //nolint:gosec // far fewer requests
	}
	return m
}

func refusalOf(err error) peerpb.Refusal {
	switch {
	case errors.Is(err, gateway.ErrLeaving):
		return peerpb.Refusal_REFUSAL_LEAVING
	case errors.Is(err, link.ErrQueueTimeout):
		return peerpb.Refusal_REFUSAL_QUEUE_TIMEOUT
	case errors.Is(err, link.ErrServerRefused):
		return peerpb.Refusal_REFUSAL_SERVER_REFUSED
	case errors.Is(err, link.ErrNoConnection):
		return peerpb.Refusal_REFUSAL_NO_CONNECTION
	default:
		return peerpb.Refusal_REFUSAL_LOST
	}
}

func decodeResult(m *peerpb.BatchResult) gateway.Result {
	if err := decodeRefusal(m.GetRefusal(), string(m.GetReason())); err != nil {
		return gateway.Result{Err: err}
	}
	var r gateway.Result
	for _, a := range m.GetAnswers() {
		r.Answers = append(r.Answers, decodeAnswer(a))
	}
	if load := m.GetLoad(); load != nil {
		r.Load = &link.ServerLoad{
			InUse: int(load.GetInUse()), Waiting: int(load.GetWaiting()), Latency: time.Duration(load.GetLatencyMicroseconds()) * time.Microsecond,
		}
	}
	return r
}

// decodeRefusal returns the error for a refusal, nil if there is none.
func decodeRefusal(refusal peerpb.Refusal, reason string) error {
	switch refusal {
	case peerpb.Refusal_REFUSAL_UNSPECIFIED:
		return nil
	case peerpb.Refusal_REFUSAL_LEAVING:
		return gateway.ErrLeaving
	case peerpb.Refusal_REFUSAL_QUEUE_TIMEOUT:
		return link.ErrQueueTimeout
	case peerpb.Refusal_REFUSAL_SERVER_REFUSED:
		return link.ErrServerRefused
	case peerpb.Refusal_REFUSAL_NO_CONNECTION:
		return eris.Wrap(link.ErrNoConnection, reason)
	default:
		return link.ErrLost
	}
}

func encodeProbeResult(r gateway.ProbeResult) *peerpb.ProbeResponse {
	var failure *exchange.Error
	if r.Err != nil && !errors.As(r.Err, &failure) {
		return &peerpb.ProbeResponse{Refusal: refusalOf(r.Err), Reason: []byte(r.Err.Error())}
	}
	return &peerpb.ProbeResponse{
		Answer:          encodeAnswer(exchange.Answer{Position: r.Proof.Position, Failure: failure}),
		AgeMicroseconds: r.Proof.Age.Microseconds(),
	}
}

func decodeProbeResult(m *peerpb.ProbeResponse) gateway.ProbeResult {
	if err := decodeRefusal(m.GetRefusal(), string(m.GetReason())); err != nil {
		return gateway.ProbeResult{Err: err}
	}
	answer := decodeAnswer(m.GetAnswer())
	if answer.Failure != nil {
		return gateway.ProbeResult{Err: answer.Failure}
	}
	return gateway.ProbeResult{Proof: gateway.Proof{Position: answer.Position, Age: time.Duration(m.GetAgeMicroseconds()) * time.Microsecond}}
}

func encodeAnswer(a exchange.Answer) *peerpb.Answer {
	m := &peerpb.Answer{
		Digest: []byte(a.Digest), State: stateCodes[a.State], Term: int64(a.Position.Term), Offset: int64(a.Position.Offset),
		ProcessAgeMicroseconds: a.ProcessAge.Microseconds(),
	}
	for _, row := range a.Rows {
		m.Rows = append(m.Rows, []byte(row))
	}
	if a.Failure != nil {
		m.Failure = &peerpb.StatementFailure{Code: failureCodes[a.Failure.Code], Text: []byte(a.Failure.Text)}
	}
	if s := a.Status; s != nil {
		m.Status = &peerpb.ServerStatus{
			Role: int32(s.Role), Term: int64(s.Term), ReceivedTerm: int64(s.ReceivedPosition.Term), ReceivedOffset: int64(s.ReceivedPosition.Offset), //nolint:gosec // few roles
			SuspendedTerm: int64(s.SuspendedTerm), LagMicroseconds: s.ReplicationLag.Microseconds(),
			SlotsInUse: int32(s.SlotsInUse), ConnectionsInUse: int32(s.ConnectionsInUse), //nolint:gosec // at most the server's limits
		}
	}
	return m
}

func decodeAnswer(m *peerpb.Answer) exchange.Answer {
	a := exchange.Answer{
		Digest: string(m.GetDigest()), State: stateCodes.value(m.GetState()),
		Position:   group.Position{Term: group.Term(m.GetTerm()), Offset: group.Offset(m.GetOffset())},
		ProcessAge: time.Duration(m.GetProcessAgeMicroseconds()) * time.Microsecond,
	}
	for _, row := range m.GetRows() {
		a.Rows = append(a.Rows, string(row))
	}
	if f := m.GetFailure(); f != nil {
		a.Failure = &exchange.Error{Code: failureCodes.value(f.GetCode()), Text: string(f.GetText())}
	}
	if s := m.GetStatus(); s != nil {
		a.Status = &exchange.ServerStatus{
			Role: exchange.Role(s.GetRole()), Term: group.Term(s.GetTerm()),
			ReceivedPosition: group.Position{Term: group.Term(s.GetReceivedTerm()), Offset: group.Offset(s.GetReceivedOffset())},
			SuspendedTerm:    group.Term(s.GetSuspendedTerm()), ReplicationLag: time.Duration(s.GetLagMicroseconds()) * time.Microsecond,
			SlotsInUse: int(s.GetSlotsInUse()), ConnectionsInUse: int(s.GetConnectionsInUse()),
		}
	}
	return a
}
