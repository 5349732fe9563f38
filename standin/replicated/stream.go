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

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// Dial implements link.Dialer.
func (w *Cluster) Dial(ctx context.Context, server catalog.Server) (link.Stream, error) {
	if err := pause(ctx, 2*NetDelay); err != nil {
		return nil, err
	}
	w.mu.Lock()
	s := w.servers[server.ID]
	switch {
	case s == nil || !s.up:
		w.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	case s.dark:
		w.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	case w.ConnectionLimit > 0 && len(s.streams) >= w.ConnectionLimit:
		w.mu.Unlock()
		return nil, &exchange.Error{Code: exchange.TooManyConnections}
	}
	defer w.mu.Unlock()
	s.opened++
	st := &stream{server: s, number: s.opened, requests: make(chan exchange.Statement, 1024), answers: make(chan exchange.Answer, 1024), ended: make(chan struct{})}
	s.streams = append(s.streams, st)
	go st.serve()
	return st, nil
}

// stream is one connection to a server.
type stream struct {
	server   *Server
	number   int
	requests chan exchange.Statement
	answers  chan exchange.Answer
	ended    chan struct{}
	once     sync.Once

	values   map[string]string
	prepared map[string]exchange.Prepared
	state    exchange.State
	readOnly bool
	pending  []string
}

func (st *stream) drop() { st.once.Do(func() { close(st.ended) }) }

// Send implements link.Stream.
func (st *stream) Send(batch []exchange.Statement) error {
	for _, s := range batch {
		select {
		case st.requests <- s:
		case <-st.ended:
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
	case <-st.ended:
		return exchange.Answer{}, io.EOF
	}
}

// Close implements link.Stream.
func (st *stream) Close() error {
	st.drop()
	w := st.server.world
	w.mu.Lock()
	defer w.mu.Unlock()
	st.server.streams = slices.DeleteFunc(st.server.streams, func(o *stream) bool { return o == st })
	return nil
}

// serve runs the statements in their order.
func (st *stream) serve() {
	for {
		select {
		case <-st.ended:
			return
		case statement := <-st.requests:
			if !st.step(statement) {
				return
			}
		}
	}
}

// step runs one statement. It returns false when the connection answers
// nothing more.
func (st *stream) step(statement exchange.Statement) bool {
	time.Sleep(NetDelay)
	if worksOn(statement.Operation) {
		time.Sleep(ExecutionDelay)
	}
	w := st.server.world
	for {
		w.mu.Lock()
		silent := st.server.dark
		w.mu.Unlock()
		if !silent {
			break
		}
		select {
		case <-st.ended:
			return false
		case <-time.After(replicationInterval):
		}
	}
	answer, err := st.run(statement)
	if err != nil {
		return false
	}
	time.Sleep(NetDelay)
	select {
	case st.answers <- answer:
		return true
	case <-st.ended:
		return false
	}
}

func worksOn(o exchange.Operation) bool {
	switch o {
	case exchange.Read, exchange.Write, exchange.Execute, exchange.Commit:
		return true
	default:
		return false
	}
}

// errSilent ends a connection without an answer.
var errSilent = errors.New("no answer")

func (st *stream) run(statement exchange.Statement) (exchange.Answer, error) {
	s := st.server
	w := s.world
	w.mu.Lock()
	answer, wait := st.execute(statement)
	length := len(s.log)
	lost := false
	if statement.ID != "" && answer.Failure == nil && s.loseAnswers > 0 {
		s.loseAnswers--
		lost = true
	}
	w.mu.Unlock()
	if wait {
		if err := st.awaitConfirmation(string(statement.ID), length-1); err != nil {
			return exchange.Answer{}, err
		}
	}
	if lost {
		return exchange.Answer{}, errSilent
	}
	answer.State = st.state
	return answer, nil
}

// awaitConfirmation waits until a replica has received the log up to the index.
func (st *stream) awaitConfirmation(id string, index int) error {
	w := st.server.world
	for {
		w.mu.Lock()
		p := st.server
		gone := !p.primary || !p.up || index >= len(p.log)
		if !gone && w.confirmed(p, index) {
			w.acked = append(w.acked, Commit{ID: p.log[index].id, Index: index, At: time.Now()})
			w.mu.Unlock()
			return nil
		}
		w.mu.Unlock()
		if gone {
			return errSilent
		}
		select {
		case <-st.ended:
			return errors.New("connection ended before " + id + " was confirmed")
		case <-time.After(time.Millisecond):
		}
	}
}

// execute runs a statement under the world's lock. It returns true when the
// answer has to wait for a replica.
func (st *stream) execute(statement exchange.Statement) (exchange.Answer, bool) {
	s := st.server
	fail := func(code exchange.Code) (exchange.Answer, bool) {
		if st.state == exchange.InTransaction {
			st.state = exchange.Failed
		}
		return exchange.Answer{Failure: &exchange.Error{Code: code, Text: string(s.id)}, Position: s.position(s.applied)}, false
	}
	if worksOn(statement.Operation) && s.busy {
		return exchange.Answer{Failure: &exchange.Error{Code: exchange.Busy}, Position: s.position(s.applied)}, false
	}
	if st.state == exchange.Failed && statement.Operation != exchange.Rollback {
		return fail(exchange.Malformed)
	}
	if st.state == exchange.InTransaction && !st.readOnly && !s.primary && (worksOn(statement.Operation) && (statement.Operation != exchange.Commit || len(st.pending) > 0)) {
		return fail(exchange.ReadOnly)
	}
	if !s.contains(statement.After) {
		return fail(exchange.Behind)
	}
	done := exchange.Answer{Position: s.position(s.applied)}
	switch statement.Operation {
	case exchange.Set:
		if st.values == nil {
			st.values = map[string]string{}
		}
		st.values[statement.Name] = statement.Value
	case exchange.Prepare:
		if st.prepared == nil {
			st.prepared = map[string]exchange.Prepared{}
		}
		st.prepared[statement.Name] = statement.Prepared
	case exchange.Reset:
		st.values, st.prepared = nil, nil
	case exchange.Begin, exchange.BeginRead:
		st.readOnly = statement.Operation == exchange.BeginRead
		if !st.readOnly && !s.primary {
			return fail(exchange.ReadOnly)
		}
		st.state = exchange.InTransaction
	case exchange.Rollback:
		st.state, st.pending = exchange.Idle, nil
	case exchange.Commit:
		return st.commit(statement, done)
	case exchange.Read, exchange.Write, exchange.Execute:
		return st.work(statement, done, fail)
	default:
		return s.command(statement), false
	}
	return done, false
}

// contains reports whether the readable log contains a position.
func (s *Server) contains(p group.Position) bool {
	if p.IsZero() {
		return true
	}
	return s.term >= p.Term && s.applied >= int(p.Offset)
}

func (st *stream) work(statement exchange.Statement, done exchange.Answer, fail func(exchange.Code) (exchange.Answer, bool)) (exchange.Answer, bool) {
	writes, shape := statement.Operation == exchange.Write, ""
	if statement.Operation == exchange.Execute {
		prepared, ok := st.prepared[statement.Name]
		if !ok {
			return fail(exchange.NoStatement)
		}
		writes, shape = prepared.Writes, prepared.Shape
	}
	if writes && !st.server.primary {
		return fail(exchange.ReadOnly)
	}
	done.Digest = st.record(statement, shape)
	if !writes {
		done.Rows = []string{statement.Arguments}
		return done, false
	}
	if st.state == exchange.InTransaction {
		st.pending = append(st.pending, string(statement.ID))
		return done, false
	}
	return st.append(string(statement.ID), done), true
}

func (st *stream) commit(statement exchange.Statement, done exchange.Answer) (exchange.Answer, bool) {
	done.Digest = st.record(statement, "")
	pending := st.pending
	st.state, st.pending = exchange.Idle, nil
	if len(pending) == 0 {
		return done, false
	}
	return st.append(string(statement.ID), done), true
}

// append adds a commit to the primary's log.
func (st *stream) append(id string, done exchange.Answer) exchange.Answer {
	s := st.server
	s.log = append(slices.Clip(s.log), entry{id, s.term})
	s.applied = len(s.log)
	done.Position = s.position(s.applied)
	return done
}

// record notes that a caller's statement ran and returns its digest.
func (st *stream) record(statement exchange.Statement, shape string) string {
	s := st.server
	w := s.world
	digest := "d" + strconv.Itoa(len(w.runs))
	run := Execution{
		ID: string(statement.ID), Server: s.id, Digest: digest, Values: maps.Clone(st.values), Text: shape,
		Connection: st.number, InTransaction: st.state == exchange.InTransaction, At: time.Now(),
	}
	for _, e := range s.log[:s.applied] {
		run.Log = append(run.Log, e.id)
	}
	w.runs = append(w.runs, run)
	return digest
}
