package backendserver

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPrepared bounds the prepared statements of one connection. PostgreSQL uses
// tens of kilobytes for each, so a connection uses at most about 10 MB for them.
const maxPrepared = 200

// answerAction says what to do with the answer to a Parse or Close. endOfBatch
// stands for the ReadyForQuery up to which the server skips messages after an
// error.
type answerAction int

const (
	forwardParse answerAction = iota // ParseComplete of a named or unnamed statement
	convertClose                     // CloseComplete to convert to ParseComplete
	forwardClose                     // CloseComplete of the caller's Close
	dropClose                        // CloseComplete of an evicted statement
	endOfBatch                       // ReadyForQuery
)

// pendingAnswer is an expected answer and the statement that it is about.
type pendingAnswer struct {
	action answerAction
	name   string
}

// preparedCache tracks which named prepared statements exist on a connection, and
// rewrites messages so that each is parsed once. It replaces the Parse of an
// existing statement by a Close of a nonexistent one. The answer to that Close
// arrives in the same position among the answers and is converted to the
// ParseComplete. When the cache is full, it closes the least recently used
// statement.
type preparedCache struct {
	lru   *list.List // of names, most recently used first
	names map[string]*list.Element
	// stale holds the names of statements that may still exist on the server,
	// because their Close has not been answered or was skipped after an error.
	stale   map[string]bool
	pending []pendingAnswer
}

func newPreparedCache() *preparedCache {
	return &preparedCache{lru: list.New(), names: map[string]*list.Element{}, stale: map[string]bool{}}
}

// nonexistentStatement is a name that no prepared statement has.
const nonexistentStatement = "basilmill_absent"

// rewriteOutgoing returns the messages to send in place of m.
func (p *preparedCache) rewriteOutgoing(m pgproto3.FrontendMessage) []pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return p.rewriteParse(m)
	case *pgproto3.Bind:
		p.touch(m.PreparedStatement)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			p.remove(m.Name)
			p.stale[m.Name] = true
		}
		p.expect(forwardClose, m.Name)
	case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
		p.expect(endOfBatch, "")
	}
	return []pgproto3.FrontendMessage{m}
}

func (p *preparedCache) rewriteParse(m *pgproto3.Parse) []pgproto3.FrontendMessage {
	if m.Name == "" {
		p.expect(forwardParse, "")
		return []pgproto3.FrontendMessage{m}
	}
	if p.touch(m.Name) {
		p.expect(convertClose, "")
		return []pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: nonexistentStatement}}
	}
	var batch []pgproto3.FrontendMessage
	if p.lru.Len() >= maxPrepared {
		evicted, _ := p.lru.Back().Value.(string)
		p.remove(evicted)
		p.stale[evicted] = true
	}
	// Usually this is only the statement evicted above.
	for name := range p.stale {
		p.expect(dropClose, name)
		batch = append(batch, &pgproto3.Close{ObjectType: 'S', Name: name})
	}
	p.names[m.Name] = p.lru.PushFront(m.Name)
	p.expect(forwardParse, m.Name)
	return append(batch, m)
}

// rewriteIncoming returns the message to pass on in place of m, or nil for none.
func (p *preparedCache) rewriteIncoming(m pgproto3.BackendMessage) pgproto3.BackendMessage {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		p.takePending()
	case *pgproto3.CloseComplete:
		first := p.takePending()
		switch first.action {
		case convertClose:
			return &pgproto3.ParseComplete{}
		case dropClose:
			delete(p.stale, first.name)
			return nil
		case forwardClose:
			delete(p.stale, first.name)
		}
	case *pgproto3.ErrorResponse:
		p.skipToEndOfBatch()
		if m.Code == planChanged || m.Code == statementMissing {
			p.invalidate()
		}
	case *pgproto3.ReadyForQuery:
		p.skipToEndOfBatch()
		p.takePending()
	case *pgproto3.CommandComplete:
		if tag := string(m.CommandTag); tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
			p.clear()
		}
	}
	return m
}

// Error codes after which prepared statements may be unusable: a plan's result type
// has changed (feature_not_supported), or a statement was deallocated other than
// by Close (invalid_sql_statement_name).
const (
	planChanged      = "0A000"
	statementMissing = "26000"
)

// invalidate causes every statement to be parsed again when it is next used.
func (p *preparedCache) invalidate() {
	for name := range p.names {
		p.stale[name] = true
	}
	p.lru.Init()
	clear(p.names)
}

// skipToEndOfBatch drops the pending answers that do not arrive after an error:
// all up to the end of the batch. It removes statements whose Parse was skipped.
func (p *preparedCache) skipToEndOfBatch() {
	for len(p.pending) > 0 && p.pending[0].action != endOfBatch {
		if first := p.takePending(); first.action == forwardParse {
			p.remove(first.name)
		}
	}
}

func (p *preparedCache) expect(action answerAction, name string) {
	p.pending = append(p.pending, pendingAnswer{action: action, name: name})
}

// takePending removes and returns the next pending answer.
func (p *preparedCache) takePending() pendingAnswer {
	if len(p.pending) == 0 {
		return pendingAnswer{action: endOfBatch}
	}
	first := p.pending[0]
	p.pending = p.pending[1:]
	return first
}

// touch marks the statement as most recently used and reports whether it exists.
func (p *preparedCache) touch(name string) bool {
	e, ok := p.names[name]
	if ok {
		p.lru.MoveToFront(e)
	}
	return ok
}

func (p *preparedCache) remove(name string) {
	if e, ok := p.names[name]; ok {
		p.lru.Remove(e)
		delete(p.names, name)
	}
}

func (p *preparedCache) clear() {
	p.lru.Init()
	clear(p.names)
	clear(p.stale)
}
