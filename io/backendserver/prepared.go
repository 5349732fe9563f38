package backendserver

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPrepared bounds the prepared statements of one connection. PostgreSQL
// keeps tens of kilobytes for each, so a connection stays within some 10 MB.
const maxPrepared = 200

// answer says what to do with the next answer to a Parse or Close, or marks
// the end of an error's effect.
type answer int

const (
	passParse  answer = iota // ParseComplete of a named or unnamed statement
	elideParse               // CloseComplete that stands in for ParseComplete
	passClose                // CloseComplete of the caller's Close
	dropClose                // CloseComplete of an evicted statement
	endOfBatch               // ReadyForQuery
)

type pending struct {
	answer answer
	name   string
}

// prepared knows which named statements the connection has. A Parse of a
// statement that the connection already has is replaced by a Close of a name
// that does not exist, whose answer takes the same place in the order of
// answers and is turned into the ParseComplete.
type prepared struct {
	order *list.List // of names, most recently used first
	names map[string]*list.Element
	// stale holds names that may still exist because their Close is not
	// answered yet or was skipped after an error.
	stale   map[string]bool
	pending []pending
}

func newPrepared() *prepared {
	return &prepared{order: list.New(), names: map[string]*list.Element{}, stale: map[string]bool{}}
}

// absent is a statement name that is never prepared.
const absent = "basilmill_absent"

// outgoing returns the messages to send in place of m.
func (p *prepared) outgoing(m pgproto3.FrontendMessage) []pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return p.parse(m)
	case *pgproto3.Bind:
		p.touch(m.PreparedStatement)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			p.forget(m.Name)
			p.stale[m.Name] = true
		}
		p.expect(passClose, m.Name)
	case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
		p.expect(endOfBatch, "")
	}
	return []pgproto3.FrontendMessage{m}
}

func (p *prepared) parse(m *pgproto3.Parse) []pgproto3.FrontendMessage {
	if m.Name == "" {
		p.expect(passParse, "")
		return []pgproto3.FrontendMessage{m}
	}
	if p.touch(m.Name) {
		p.expect(elideParse, "")
		return []pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: absent}}
	}
	var batch []pgproto3.FrontendMessage
	if p.order.Len() >= maxPrepared {
		oldest, _ := p.order.Back().Value.(string)
		p.forget(oldest)
		p.stale[oldest] = true
	}
	// Most often this is the one evicted above.
	for name := range p.stale {
		p.expect(dropClose, name)
		batch = append(batch, &pgproto3.Close{ObjectType: 'S', Name: name})
	}
	p.names[m.Name] = p.order.PushFront(m.Name)
	p.expect(passParse, m.Name)
	return append(batch, m)
}

// incoming returns the message to pass on in place of m, or nil for none.
func (p *prepared) incoming(m pgproto3.BackendMessage) pgproto3.BackendMessage {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		p.take()
	case *pgproto3.CloseComplete:
		first := p.take()
		switch first.answer {
		case elideParse:
			return &pgproto3.ParseComplete{}
		case dropClose:
			delete(p.stale, first.name)
			return nil
		case passClose:
			delete(p.stale, first.name)
		}
	case *pgproto3.ErrorResponse:
		p.fail()
		if m.Code == planChanged || m.Code == statementMissing {
			p.expire()
		}
	case *pgproto3.ReadyForQuery:
		p.fail()
		p.take()
	case *pgproto3.CommandComplete:
		if tag := string(m.CommandTag); tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
			p.clear()
		}
	}
	return m
}

// Error codes after which prepared statements may be unusable: the result type
// of a plan has changed, or a statement was deallocated behind our back.
const (
	planChanged      = "0A000"
	statementMissing = "26000"
)

// expire makes every statement be prepared anew when it is next used.
func (p *prepared) expire() {
	for name := range p.names {
		p.stale[name] = true
	}
	p.order.Init()
	clear(p.names)
}

// fail drops what the server skips after an error: everything up to the end
// of the batch. Statements whose Parse was skipped are forgotten.
func (p *prepared) fail() {
	for len(p.pending) > 0 && p.pending[0].answer != endOfBatch {
		if first := p.take(); first.answer == passParse {
			p.forget(first.name)
		}
	}
}

func (p *prepared) expect(a answer, name string) {
	p.pending = append(p.pending, pending{answer: a, name: name})
}

func (p *prepared) take() pending {
	if len(p.pending) == 0 {
		return pending{answer: endOfBatch}
	}
	first := p.pending[0]
	p.pending = p.pending[1:]
	return first
}

func (p *prepared) touch(name string) bool {
	e, ok := p.names[name]
	if ok {
		p.order.MoveToFront(e)
	}
	return ok
}

func (p *prepared) forget(name string) {
	if e, ok := p.names[name]; ok {
		p.order.Remove(e)
		delete(p.names, name)
	}
}

func (p *prepared) clear() {
	p.order.Init()
	clear(p.names)
	clear(p.stale)
}
