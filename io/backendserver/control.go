package backendserver

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// objectNotInState is the PostgreSQL error code (object_not_in_prerequisite_state)
// of a command that the server's state does not allow, such as a promotion to a
// term that has passed.
const objectNotInState = "55000"

// RefusedError is the error of a command that a backend server rejected because of
// its state. The command had no effect.
type RefusedError struct {
	SQLState string
	Message  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the command: %s (%s)", e.Message, e.SQLState)
}

// ControlClient calls the functions of schema basilmill on one backend server, that
// is, status queries and commands. It keeps one connection open and replaces it
// after an error. Calls run one at a time. A call whose context ends closes the
// connection, so a call to an unresponsive server ends by its deadline. Status
// queries that must not wait for a long command such as Quiesce need a
// ControlClient of their own.
type ControlClient struct {
	dialer   Dialer
	address  netip.AddrPort
	database string
	// slot holds the connection. A call takes the value out and puts it back, which
	// makes calls exclusive.
	slot chan controlConn
}

// controlConn is the connection of a ControlClient.
type controlConn struct {
	conn *pgconn.PgConn // nil if none is open
	// closed is set by Close. No connection is opened after that.
	closed bool
}

// errClientClosed is the error of calls after Close.
var errClientClosed = errors.New("the client is closed")

// NewControlClient returns a client for the server at the address. It connects at
// the first call.
func NewControlClient(dialer Dialer, address netip.AddrPort, database string) *ControlClient {
	c := &ControlClient{dialer: dialer, address: address, database: database, slot: make(chan controlConn, 1)}
	c.slot <- controlConn{}
	return c
}

// Status queries the server's status.
func (c *ControlClient) Status(ctx context.Context) (status group.Status, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: status") }()
	row, err := c.call(ctx, "SELECT * FROM basilmill.status()", 9)
	if err != nil {
		return group.Status{}, err
	}
	r := rowReader{row: row}
	status = group.Status{
		Server:     group.ServerID(r.text(0)),
		Role:       r.role(1),
		Term:       group.Term(r.number(2)),
		TermStart:  group.Offset(r.number(3)),
		Generation: group.Generation(r.number(4)),
		Successor:  group.ServerID(r.text(5)),
		Received:   group.Offset(r.number(6)),
		Applied:    group.Offset(r.number(7)),
		Leaving:    r.boolean(8),
	}
	return status, r.err
}

// PositionQuery is the statement whose answer ParsePosition reads.
const PositionQuery = "SELECT * FROM basilmill.position()"

// Position queries the end of the primary's log.
func (c *ControlClient) Position(ctx context.Context) (position group.Position, generation group.Generation, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: position") }()
	row, err := c.call(ctx, PositionQuery, 3)
	if err != nil {
		return group.Position{}, 0, err
	}
	return ParsePosition(row)
}

// ParsePosition reads the row that answers PositionQuery.
func ParsePosition(row [][]byte) (group.Position, group.Generation, error) {
	if len(row) != 3 {
		return group.Position{}, 0, eris.Errorf("position has %d columns instead of 3", len(row))
	}
	r := rowReader{row: row}
	position := group.Position{Term: group.Term(r.number(0)), Offset: group.Offset(r.number(2))}
	return position, group.Generation(r.number(1)), r.err
}

// Promote makes the server the primary of the term, with the given successor. It
// returns the log offset at which the term starts.
func (c *ControlClient) Promote(ctx context.Context, term group.Term, generation group.Generation, successor group.ServerID) (start group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: promote") }()
	return c.callForOffset(ctx, fmt.Sprintf("SELECT basilmill.promote(%d, %d, %s)", term, generation, quoteLiteral(string(successor))))
}

// SetSuccessor makes the primary replicate to another successor under a new
// generation. It returns the end of the primary's log at that moment.
func (c *ControlClient) SetSuccessor(ctx context.Context, term group.Term, generation group.Generation, server group.ServerID) (end group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: set successor") }()
	return c.callForOffset(ctx, fmt.Sprintf("SELECT basilmill.set_successor(%d, %d, %s)", term, generation, quoteLiteral(string(server))))
}

// Follow makes the server a replica of the primary at the address.
func (c *ControlClient) Follow(ctx context.Context, term group.Term, server group.ServerID, address netip.AddrPort) (err error) {
	defer func() { err = eris.Wrap(err, "backendserver: follow") }()
	_, err = c.call(ctx, fmt.Sprintf("SELECT basilmill.follow(%d, %s, %s)", term, quoteLiteral(string(server)), quoteLiteral(address.String())), 1)
	return err
}

// Quiesce makes the primary reject new writes. It returns the final log offset
// once open transactions have ended.
func (c *ControlClient) Quiesce(ctx context.Context, term group.Term) (end group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: quiesce") }()
	return c.callForOffset(ctx, "SELECT basilmill.quiesce("+formatInt(term)+")")
}

// Close closes the connection after the call in progress, if any. Later calls
// fail.
func (c *ControlClient) Close() {
	s := <-c.slot
	if s.conn != nil {
		closeNow(context.Background(), s.conn)
	}
	c.slot <- controlConn{closed: true}
}

func (c *ControlClient) callForOffset(ctx context.Context, sql string) (group.Offset, error) {
	row, err := c.call(ctx, sql, 1)
	if err != nil {
		return 0, err
	}
	r := rowReader{row: row}
	return group.Offset(r.number(0)), r.err
}

// call runs a statement that returns one row with the given number of columns.
func (c *ControlClient) call(ctx context.Context, sql string, columns int) (row [][]byte, err error) {
	var s controlConn
	select {
	case s = <-c.slot:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() {
		if s.conn != nil && s.conn.IsClosed() {
			s.conn = nil
		}
		c.slot <- s
	}()
	if s.closed {
		return nil, errClientClosed
	}
	if s.conn == nil {
		if s.conn, err = c.dialer.open(ctx, c.address, c.database); err != nil {
			return nil, err
		}
	}
	results, err := s.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, callError(ctx, s.conn, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != columns {
		return nil, eris.Errorf("answer is not one row of %d columns", columns)
	}
	return results[0].Rows[0], nil
}

// callError converts the error of a call. It closes the connection unless the
// server answered with an ErrorResponse.
func callError(ctx context.Context, conn *pgconn.PgConn, err error) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		closeNow(ctx, conn)
		return err
	}
	if pgErr.Code == objectNotInState {
		return &RefusedError{SQLState: pgErr.Code, Message: pgErr.Message}
	}
	return err
}

// closeNow closes the connection without waiting for the server.
func closeNow(ctx context.Context, conn *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	_ = conn.Close(ctx)
}

// rowReader parses the columns of a row and keeps the first error.
type rowReader struct {
	row [][]byte
	err error
}

func (r *rowReader) text(i int) string { return string(r.row[i]) }

func (r *rowReader) number(i int) int64 {
	n, err := strconv.ParseInt(string(r.row[i]), 10, 64)
	if err != nil && r.err == nil {
		r.err = eris.Wrapf(err, "column %d", i)
	}
	return n
}

func (r *rowReader) boolean(i int) bool {
	b, err := strconv.ParseBool(string(r.row[i]))
	if err != nil && r.err == nil {
		r.err = eris.Wrapf(err, "column %d", i)
	}
	return b
}

func (r *rowReader) role(i int) group.Role {
	switch r.text(i) {
	case group.Primary.String():
		return group.Primary
	case group.Replica.String():
	default:
		if r.err == nil {
			r.err = eris.Errorf("column %d: unknown role %q", i, r.text(i))
		}
	}
	return group.Replica
}
