package caller

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/core/statement"
)

const (
	// messageOverhead is the memory that each message of a batch takes besides
	// its contents.
	messageOverhead = 128

	// maxPortals bounds the portals of a transaction. Drivers use one or two.
	maxPortals = 1000
)

// answer says which message completes the answer to a step.
type answer int

const (
	parseAnswer answer = iota
	bindAnswer
	describeAnswer
	executeAnswer
	closeAnswer
	// readyAnswer is ReadyForQuery, after Sync or a simple query.
	readyAnswer
)

// step is a message of a batch with the answer that is due for it.
type step struct {
	// message is nil when the answer is local.
	message pgproto3.FrontendMessage
	answer  answer
	// local answers a step without a server.
	local []pgproto3.BackendMessage
	// write is set for an Execute or simple query that may write.
	write bool
	// capture, if set, keeps the answer from the caller.
	capture *capture
	// refused replaces the error that the server answers the step with.
	refused *outcome.Error
	// defines is the statement that the caller's Parse defines.
	defines *prepared
}

// capture is the hidden answer to a step.
type capture struct {
	row  [][]byte // the last one
	tag  string
	code string // of an error
	err  *pgproto3.ErrorResponse
}

func hiddenQuery(sql string, c *capture) step {
	return step{message: &pgproto3.Query{String: sql}, answer: readyAnswer, capture: c}
}

// batch is a simple query, or messages of the extended protocol up to Sync or
// Flush.
type batch struct {
	steps []step
	size  int
	sql   string
	// class is Read when every statement is, and otherwise that of the first
	// other statement.
	class   statement.Class
	classed bool
	// simple and synced batches end with ReadyForQuery.
	simple bool
	synced bool
	// refused is the error that takes the place of the rest of the batch.
	refused *outcome.Error

	readOnly bool // starts a read-only transaction
	begins   bool
	ends     bool
	commits  bool
	pins     bool
	unpins   bool
	copyIn   bool
	multiple bool
	settings bool // changes settings, maybe of the transaction
	writes   int
	executed int
}

// mayWrite reports whether running the statement may change data. A Read that
// calls an unknown function counts, because the primary would let it write.
func mayWrite(f statement.Statement) bool {
	switch f.Class {
	case statement.Write, statement.Other:
		return true
	case statement.Read:
		return f.Calls
	default:
		return false
	}
}

// add notes a statement that the batch prepares or runs.
func (b *batch) add(s *session, sql string, f statement.Statement) {
	if b.sql == "" {
		b.sql = sql
	}
	class := f.Class
	switch {
	case class == statement.Begin && !b.classed:
		b.readOnly = f.ReadOnly
		if f.ReadOnly {
			class = statement.Read
		}
	case b.readOnly:
		class = statement.Read
	case class == statement.SessionSetting && !f.Pins,
		(class == statement.Commit || class == statement.Rollback) && s.status == idle && !b.begins:
		// Without effect on a connection without state.
		class = statement.Read
	}
	if !b.classed || b.class == statement.Read {
		b.class = class
	}
	b.classed = true
}

// execute notes a statement that the batch runs.
func (b *batch) execute(f statement.Statement) {
	b.executed++
	b.begins = b.begins || f.Class == statement.Begin
	b.ends = b.ends || f.Ends
	b.commits = b.commits || f.Ends && f.Class != statement.Rollback
	b.pins = b.pins || f.Pins
	b.unpins = f.Unpins
	b.copyIn = b.copyIn || f.CopyIn
	b.multiple = b.multiple || f.Multiple
	b.settings = b.settings || f.Class == statement.SessionSetting
	if mayWrite(f) {
		b.writes++
	}
}

func (b *batch) isRefused() bool { return b.refused != nil }

func (b *batch) wrote() bool { return b.writes > 0 }

// simple serves a simple query.
func (s *session) simple(ctx context.Context, sql string) error {
	if len(s.batch.steps) > 0 || s.batch.refused != nil || s.inBatch() {
		return end(refuse(protocolViolation, "a simple query must not follow an unfinished batch"))
	}
	facts := statement.Classify(sql)
	b := &batch{simple: true, synced: true}
	if refusal := s.check(facts, true); refusal != nil {
		return s.answerLocally(refusal)
	}
	if local, ok := s.local(facts); ok {
		return s.finishLocal(facts, local)
	}
	b.add(s, sql, facts)
	b.execute(facts)
	b.steps = []step{{message: &pgproto3.Query{String: sql}, answer: readyAnswer, write: mayWrite(facts)}}
	return s.dispatch(ctx, b)
}

// inBatch reports whether a batch was flushed and awaits its Sync.
func (s *session) inBatch() bool {
	return s.skipping || (s.conv != nil && s.status == idle && !s.pinned) || s.unsynced
}

// check refuses what the host cannot do correctly.
func (s *session) check(f statement.Statement, simple bool) *outcome.Error {
	switch {
	case f.SetsKey:
		refusal := refuse(featureNotSupported, "the request key cannot be set in this way")
		refusal.Cause = hint("Use SET " + statement.RequestKey + " = '...' as a statement of its own.")
		return refusal
	case f.CopyIn && (!simple || f.Multiple):
		return refuse(featureNotSupported, "COPY FROM STDIN must be a simple query of its own")
	}
	return nil
}

// collect adds a message of the extended protocol to the batch.
func (s *session) collect(m pgproto3.FrontendMessage) error {
	if s.skipping || s.batch.isRefused() {
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
		return end(refuse(protocolViolation, "unexpected message"))
	}
	if b.size > s.server.config.MaxMessageSize {
		refusal = refuse(programLimitExceeded, "the batch is too large")
	}
	b.refused = refusal
	return nil
}

func (s *session) collectParse(m *pgproto3.Parse) *outcome.Error {
	if refusal := s.parse(m); refusal != nil {
		return refusal
	}
	p := s.statements[m.Name]
	if refusal := s.check(p.facts, false); refusal != nil {
		s.forget(m.Name)
		return refusal
	}
	s.batch.size += len(m.Query)
	if s.isLocal(p.facts) {
		s.batch.answer(&pgproto3.ParseComplete{})
		return nil
	}
	s.batch.add(s, m.Query, p.facts)
	s.batch.steps = append(s.batch.steps, step{message: &p.parse, answer: parseAnswer, defines: p})
	return nil
}

// ensure prepends the Parse of a statement whose own Parse may have gone to
// another connection. A connection that has the statement skips it.
func (b *batch) ensure(s *session, p *prepared) {
	b.add(s, p.parse.Query, p.facts)
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
		return refuse(invalidStatementName, "prepared statement "+quoteName(m.PreparedStatement)+" does not exist")
	}
	if len(s.portals) >= maxPortals {
		return refuse(programLimitExceeded, "the transaction has too many portals")
	}
	s.portals[m.DestinationPortal] = p
	b := s.batch
	if s.isLocal(p.facts) {
		b.answer(&pgproto3.BindComplete{})
		return nil
	}
	b.ensure(s, p)
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
		if p, ok := s.portals[m.Name]; ok && s.isLocal(p.facts) {
			b.answer(describeLocal(p.facts, false)...)
			return nil
		}
		b.steps = append(b.steps, step{message: &pgproto3.Describe{ObjectType: m.ObjectType, Name: m.Name}, answer: describeAnswer})
		return nil
	}
	p, ok := s.statements[m.Name]
	if !ok {
		return refuse(invalidStatementName, "prepared statement "+quoteName(m.Name)+" does not exist")
	}
	if s.isLocal(p.facts) {
		b.answer(describeLocal(p.facts, true)...)
		return nil
	}
	b.ensure(s, p)
	b.steps = append(b.steps, step{message: &pgproto3.Describe{ObjectType: 'S', Name: p.parse.Name}, answer: describeAnswer})
	return nil
}

func (s *session) collectExecute(m *pgproto3.Execute) *outcome.Error {
	b := s.batch
	p, known := s.portals[m.Portal]
	if !known {
		// A portal of DECLARE CURSOR, or an error that the server reports.
		p = &prepared{}
		b.add(s, "", p.facts)
	}
	if known && s.isLocal(p.facts) {
		local, _ := s.local(p.facts)
		if local.refused != nil {
			return local.refused
		}
		b.answer(local.answers...)
		return nil
	}
	b.execute(p.facts)
	b.steps = append(b.steps, step{
		message: &pgproto3.Execute{Portal: m.Portal, MaxRows: m.MaxRows},
		answer:  executeAnswer,
		write:   mayWrite(p.facts),
	})
	return nil
}

// collectClose closes a statement of the session only, because the connection
// may share it with other sessions.
func (s *session) collectClose(m *pgproto3.Close) {
	b := s.batch
	if m.ObjectType == 'S' {
		s.forget(m.Name)
		b.answer(&pgproto3.CloseComplete{})
		return
	}
	if p, ok := s.portals[m.Name]; s.conv == nil && !b.needsServer() || ok && s.isLocal(p.facts) {
		// Without a transaction there is no portal.
		b.answer(&pgproto3.CloseComplete{})
	} else {
		b.steps = append(b.steps, step{message: &pgproto3.Close{ObjectType: 'P', Name: m.Name}, answer: closeAnswer})
	}
	delete(s.portals, m.Name)
}

func (b *batch) answer(messages ...pgproto3.BackendMessage) {
	b.steps = append(b.steps, step{local: messages})
}

// absentStatement is a name that no statement has.
const absentStatement = "basilmill_absent"

// fail ends the batch with its refusal. A message that the server is certain
// to refuse makes it roll back what precedes, as after any other error.
func (b *batch) fail() {
	b.steps = append(b.steps, step{
		message: &pgproto3.Describe{ObjectType: 'S', Name: absentStatement},
		answer:  describeAnswer,
		refused: b.refused,
	})
	b.refused = nil
}

func (b *batch) needsServer() bool {
	return slices.ContainsFunc(b.steps, func(st step) bool { return st.message != nil })
}

// take returns the collected batch and starts the next one.
func (s *session) take() *batch {
	b := s.batch
	s.batch = &batch{}
	return b
}

// sync serves Sync: it runs the batch and ends the effect of an error.
func (s *session) sync(ctx context.Context) error {
	b := s.take()
	b.synced = true
	if s.skipping {
		b.steps = nil
	}
	s.skipping = false
	if s.conv != nil || b.needsServer() {
		if b.refused != nil {
			b.fail()
		}
		b.steps = append(b.steps, step{message: &pgproto3.Sync{}, answer: readyAnswer})
	}
	return s.dispatch(ctx, b)
}

// flushBatch serves Flush: it runs what was collected.
func (s *session) flushBatch(ctx context.Context) error {
	if s.skipping || (len(s.batch.steps) == 0 && s.batch.refused == nil) {
		return nil
	}
	b := s.take()
	if b.ends {
		// The COMMIT could not be confirmed before the answer is due.
		b.steps, b.executed, b.writes = nil, 0, 0
		b.refused = refuse(featureNotSupported, "the end of a transaction must be followed by Sync")
	}
	if b.refused != nil && (s.conv != nil || b.needsServer()) {
		b.fail()
	}
	return s.dispatch(ctx, b)
}
