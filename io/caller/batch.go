package caller

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/core/statement"
)

const (
	// messageOverhead is the memory, in bytes, that a message in a batch takes
	// in addition to its contents.
	messageOverhead = 128

	// maxPortals bounds the open portals of a transaction. Drivers use one or
	// two.
	maxPortals = 1000
)

// answerKind identifies the message that completes the answer to a step.
type answerKind int

const (
	parseAnswer answerKind = iota
	bindAnswer
	describeAnswer
	executeAnswer
	closeAnswer
	// readyAnswer is ReadyForQuery, after Sync or a simple query.
	readyAnswer
)

// step is one message of a batch and the kind of answer expected for it.
type step struct {
	// message is nil if the host answers the step itself.
	message pgproto3.FrontendMessage
	answer  answerKind
	// localMessages is the host's own answer to a step without a message.
	localMessages []pgproto3.BackendMessage
	// write is set for an Execute or simple query that may write data.
	write bool
	// capture, if set, receives the answer instead of the caller.
	capture *capture
	// errorOverride, if set, is sent to the caller in place of the server's
	// error.
	errorOverride *outcome.Error
	// defines is the prepared statement that the caller's Parse defines.
	defines *preparedStatement
}

// capture holds the answer to a step that is not sent to the caller.
type capture struct {
	row  [][]byte // last row of the result
	tag  string
	code string // error code, empty if none
	err  *pgproto3.ErrorResponse
}

// hiddenQuery returns the step of a simple query whose answer goes to c
// instead of the caller.
func hiddenQuery(sql string, c *capture) step {
	return step{message: &pgproto3.Query{String: sql}, answer: readyAnswer, capture: c}
}

// batch is a simple query, or the messages of the extended protocol up to Sync
// or Flush.
type batch struct {
	steps []step
	size  int    // in bytes, estimated
	sql   string // of the first statement
	// class is Read if all statements are reads, otherwise the class of the
	// first statement that is not. It is valid once classified is set.
	class      statement.Class
	classified bool
	// simple is set for a simple query.
	simple bool
	// synced is set if the answer ends with ReadyForQuery, that is, for a simple
	// query and for a batch that Sync ends.
	synced bool
	// refusal is the error sent in place of the answer to the rest of the batch.
	refusal *outcome.Error

	readOnly          bool // starts a read-only transaction
	beginsTransaction bool
	endsTransaction   bool
	commits           bool // may commit a transaction
	pins              bool // leaves session state on the connection
	unpins            bool // ends with DISCARD ALL, which removes session state
	copyIn            bool // contains COPY FROM STDIN
	multiple          bool // contains a query text with several statements
	changesSettings   bool // of the session or the transaction
	writeCount        int  // executed statements that may write
	executeCount      int  // executed statements
}

// mayWrite reports whether running the statement may change data. This includes
// a Read that calls an unknown function, because the function can write if it
// runs on the primary.
func mayWrite(stmt statement.Statement) bool {
	switch stmt.Class {
	case statement.Write, statement.Other:
		return true
	case statement.Read:
		return stmt.CallsFunction
	default:
		return false
	}
}

// addStatement updates the batch's class for a statement that it prepares or
// runs.
func (b *batch) addStatement(s *session, sql string, stmt statement.Statement) {
	if b.sql == "" {
		b.sql = sql
	}
	class := stmt.Class
	switch {
	case class == statement.Begin && !b.classified:
		b.readOnly = stmt.ReadOnly
		if stmt.ReadOnly {
			class = statement.Read
		}
	case b.readOnly:
		class = statement.Read
	case class == statement.SessionSetting && !stmt.Pins,
		(class == statement.Commit || class == statement.Rollback) && s.status == statusIdle && !b.beginsTransaction:
		// It has no effect on a connection without session state.
		class = statement.Read
	}
	if !b.classified || b.class == statement.Read {
		b.class = class
	}
	b.classified = true
}

// addExecution records what the execution of a statement may do.
func (b *batch) addExecution(stmt statement.Statement) {
	b.executeCount++
	b.beginsTransaction = b.beginsTransaction || stmt.Class == statement.Begin
	b.endsTransaction = b.endsTransaction || stmt.EndsTransaction
	b.commits = b.commits || stmt.EndsTransaction && stmt.Class != statement.Rollback
	b.pins = b.pins || stmt.Pins
	b.unpins = stmt.Unpins
	b.copyIn = b.copyIn || stmt.CopyIn
	b.multiple = b.multiple || stmt.Multiple
	b.changesSettings = b.changesSettings || stmt.Class == statement.SessionSetting
	if mayWrite(stmt) {
		b.writeCount++
	}
}

func (b *batch) hasRefusal() bool { return b.refusal != nil }

// mayWrite reports whether the batch runs a statement that may change data.
func (b *batch) mayWrite() bool { return b.writeCount > 0 }

// serveSimple serves a simple query.
func (s *session) serveSimple(ctx context.Context, sql string) error {
	if len(s.batch.steps) > 0 || s.batch.refusal != nil || s.inUnfinishedBatch() {
		return endSession(refuse(protocolViolation, "a simple query must not follow an unfinished batch"))
	}
	stmt := statement.Classify(sql)
	b := &batch{simple: true, synced: true}
	if refusal := s.checkSupported(stmt, true); refusal != nil {
		return s.answerWithError(refusal)
	}
	if result, ok := s.runLocal(stmt); ok {
		return s.sendLocalAnswer(stmt, result)
	}
	b.addStatement(s, sql, stmt)
	b.addExecution(stmt)
	b.steps = []step{{message: &pgproto3.Query{String: sql}, answer: readyAnswer, write: mayWrite(stmt)}}
	return s.dispatch(ctx, b)
}

// inUnfinishedBatch reports whether part of a batch was processed and its Sync
// has not arrived.
func (s *session) inUnfinishedBatch() bool {
	return s.skippingToSync || (s.conv != nil && s.status == statusIdle && !s.pinned) || s.awaitingSync
}

// checkSupported returns an error for a statement that the host cannot run
// correctly.
func (s *session) checkSupported(stmt statement.Statement, simple bool) *outcome.Error {
	switch {
	case stmt.SetsRequestKey:
		refusal := refuse(featureNotSupported, "the request key cannot be set in this way")
		refusal.Cause = hint("Use SET " + statement.RequestKey + " = '...' as a statement of its own.")
		return refusal
	case stmt.CopyIn && (!simple || stmt.Multiple):
		return refuse(featureNotSupported, "COPY FROM STDIN must be a simple query of its own")
	}
	return nil
}

// collect adds a message of the extended protocol to the batch. Messages that
// follow an error are ignored up to Sync.
func (s *session) collect(m pgproto3.FrontendMessage) error {
	if s.skippingToSync || s.batch.hasRefusal() {
		return nil
	}
	b := s.batch
	b.size += messageOverhead
	var refusal *outcome.Error
	switch m := m.(type) {
	case *pgproto3.Parse:
		refusal = s.collectParse(m)
	case *pgproto3.Bind:
		refusal = s.collectBind(m)
	case *pgproto3.Describe:
		refusal = s.collectDescribe(m)
	case *pgproto3.Execute:
		refusal = s.collectExecute(m)
	case *pgproto3.Close:
		s.collectClose(m)
	default:
		return endSession(refuse(protocolViolation, "unexpected message"))
	}
	if b.size > s.server.config.MaxMessageSize {
		refusal = refuse(programLimitExceeded, "the batch is too large")
	}
	b.refusal = refusal
	return nil
}

func (s *session) collectParse(m *pgproto3.Parse) *outcome.Error {
	if refusal := s.addPrepared(m); refusal != nil {
		return refusal
	}
	p := s.statements[m.Name]
	if refusal := s.checkSupported(p.stmt, false); refusal != nil {
		s.deletePrepared(m.Name)
		return refusal
	}
	s.batch.size += len(m.Query)
	if s.isLocal(p.stmt) {
		s.batch.addLocalAnswer(&pgproto3.ParseComplete{})
		return nil
	}
	s.batch.addStatement(s, m.Query, p.stmt)
	s.batch.steps = append(s.batch.steps, step{message: &p.parse, answer: parseAnswer, defines: p})
	return nil
}

// ensureParsed adds the Parse of a prepared statement, because its own Parse may
// have been sent to another connection. It adds none if the batch already
// contains that Parse. A connection that has the statement skips the Parse.
func (b *batch) ensureParsed(s *session, p *preparedStatement) {
	b.addStatement(s, p.parse.Query, p.stmt)
	for i := len(b.steps) - 1; i >= 0; i-- {
		parse, ok := b.steps[i].message.(*pgproto3.Parse)
		if ok && parse.Name == p.parse.Name {
			if parse == &p.parse {
				return
			}
			break
		}
	}
	b.size += len(p.parse.Query)
	b.steps = append(b.steps, step{message: &p.parse, answer: parseAnswer, capture: &capture{}})
}

func (s *session) collectBind(m *pgproto3.Bind) *outcome.Error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return refuse(invalidStatementName, "prepared statement "+quoteIdentifier(m.PreparedStatement)+" does not exist")
	}
	if len(s.portals) >= maxPortals {
		return refuse(programLimitExceeded, "the transaction has too many portals")
	}
	s.portals[m.DestinationPortal] = p
	b := s.batch
	if s.isLocal(p.stmt) {
		b.addLocalAnswer(&pgproto3.BindComplete{})
		return nil
	}
	b.ensureParsed(s, p)
	bind := &pgproto3.Bind{
		DestinationPortal:    m.DestinationPortal,
		PreparedStatement:    p.parse.Name,
		ParameterFormatCodes: slices.Clone(m.ParameterFormatCodes),
		ResultFormatCodes:    slices.Clone(m.ResultFormatCodes),
		Parameters:           make([][]byte, len(m.Parameters)),
	}
	for i, value := range m.Parameters {
		bind.Parameters[i] = slices.Clone(value)
		b.size += len(value)
	}
	b.steps = append(b.steps, step{message: bind, answer: bindAnswer})
	return nil
}

func (s *session) collectDescribe(m *pgproto3.Describe) *outcome.Error {
	b := s.batch
	if m.ObjectType != 'S' {
		if p, ok := s.portals[m.Name]; ok && s.isLocal(p.stmt) {
			b.addLocalAnswer(describeLocal(p.stmt, false)...)
			return nil
		}
		b.steps = append(b.steps, step{message: &pgproto3.Describe{ObjectType: m.ObjectType, Name: m.Name}, answer: describeAnswer})
		return nil
	}
	p, ok := s.statements[m.Name]
	if !ok {
		return refuse(invalidStatementName, "prepared statement "+quoteIdentifier(m.Name)+" does not exist")
	}
	if s.isLocal(p.stmt) {
		b.addLocalAnswer(describeLocal(p.stmt, true)...)
		return nil
	}
	b.ensureParsed(s, p)
	b.steps = append(b.steps, step{message: &pgproto3.Describe{ObjectType: 'S', Name: p.parse.Name}, answer: describeAnswer})
	return nil
}

func (s *session) collectExecute(m *pgproto3.Execute) *outcome.Error {
	b := s.batch
	p, known := s.portals[m.Portal]
	if !known {
		// The portal may come from DECLARE CURSOR. If it does not exist, the
		// server reports the error.
		p = &preparedStatement{}
		b.addStatement(s, "", p.stmt)
	}
	if known && s.isLocal(p.stmt) {
		result, _ := s.runLocal(p.stmt)
		if result.refusal != nil {
			return result.refusal
		}
		b.addLocalAnswer(result.answers...)
		return nil
	}
	b.addExecution(p.stmt)
	b.steps = append(b.steps, step{
		message: &pgproto3.Execute{Portal: m.Portal, MaxRows: m.MaxRows},
		answer:  executeAnswer,
		write:   mayWrite(p.stmt),
	})
	return nil
}

// collectClose handles Close. A prepared statement is removed from the session
// but not from the connection, because other sessions may use it there.
func (s *session) collectClose(m *pgproto3.Close) {
	b := s.batch
	if m.ObjectType == 'S' {
		s.deletePrepared(m.Name)
		b.addLocalAnswer(&pgproto3.CloseComplete{})
		return
	}
	if p, ok := s.portals[m.Name]; s.conv == nil && !b.needsServer() || ok && s.isLocal(p.stmt) {
		// Outside a transaction there are no portals.
		b.addLocalAnswer(&pgproto3.CloseComplete{})
	} else {
		b.steps = append(b.steps, step{message: &pgproto3.Close{ObjectType: 'P', Name: m.Name}, answer: closeAnswer})
	}
	delete(s.portals, m.Name)
}

// addLocalAnswer adds a step that the host answers itself.
func (b *batch) addLocalAnswer(messages ...pgproto3.BackendMessage) {
	b.steps = append(b.steps, step{localMessages: messages})
}

// nonexistentStatement is a name that no prepared statement has.
const nonexistentStatement = "basilmill_absent"

// appendFailingStep makes the batch end with its refusal. It adds a message that
// the server always rejects, so that the server rolls back the preceding
// messages of the batch, as after any other error.
func (b *batch) appendFailingStep() {
	b.steps = append(b.steps, step{
		message:       &pgproto3.Describe{ObjectType: 'S', Name: nonexistentStatement},
		answer:        describeAnswer,
		errorOverride: b.refusal,
	})
	b.refusal = nil
}

// needsServer reports whether any step is sent to a server.
func (b *batch) needsServer() bool {
	return slices.ContainsFunc(b.steps, func(st step) bool { return st.message != nil })
}

// takeBatch returns the collected batch and starts a new one.
func (s *session) takeBatch() *batch {
	b := s.batch
	s.batch = &batch{}
	return b
}

// serveSync serves Sync: it runs the collected batch. If an earlier error made
// the session skip messages, Sync ends that.
func (s *session) serveSync(ctx context.Context) error {
	b := s.takeBatch()
	b.synced = true
	if s.skippingToSync {
		b.steps = nil
	}
	s.skippingToSync = false
	if s.conv != nil || b.needsServer() {
		if b.refusal != nil {
			b.appendFailingStep()
		}
		b.steps = append(b.steps, step{message: &pgproto3.Sync{}, answer: readyAnswer})
	}
	return s.dispatch(ctx, b)
}

// serveFlush serves Flush: it runs the messages collected so far.
func (s *session) serveFlush(ctx context.Context) error {
	if s.skippingToSync || (len(s.batch.steps) == 0 && s.batch.refusal == nil) {
		return nil
	}
	b := s.takeBatch()
	if b.endsTransaction {
		// The answer is due before Sync, when the COMMIT cannot have been
		// confirmed.
		b.steps, b.executeCount, b.writeCount = nil, 0, 0
		b.refusal = refuse(featureNotSupported, "the end of a transaction must be followed by Sync")
	}
	if b.refusal != nil && (s.conv != nil || b.needsServer()) {
		b.appendFailingStep()
	}
	return s.dispatch(ctx, b)
}
