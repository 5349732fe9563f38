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

// objectNotInState is the error code of a command that the server's state
// forbids, such as a promotion to a term that has passed.
const objectNotInState = "55000"

// RefusedError is a command that the server refused because of its state. The
// command had no effect.
type RefusedError struct {
	SQLState string
	Message  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the command: %s (%s)", e.Message, e.SQLState)
}

// ControlClient calls the functions of schema basilmill of one server. It keeps one
// connection and opens another after an error. Calls are made one at a time;
// a call whose context ends closes the connection, so a silent server costs a
// caller no more than its deadline. Status queries that must not wait behind
// a long command such as Quiesce need a ControlClient of their own.
type ControlClient struct {
	dialer   Dialer
	address  netip.AddrPort
	database string
	// turn holds the connection, or nil when there is none.
	turn chan *pgconn.PgConn
}

// NewControlClient returns a Control for the server at the address. It connects
// with the first call.
func NewControlClient(dialer Dialer, address netip.AddrPort, database string) *ControlClient {
	c := &ControlClient{dialer: dialer, address: address, database: database, turn: make(chan *pgconn.PgConn, 1)}
	c.turn <- nil
	return c
}

// Status queries the server's status.
func (c *ControlClient) Status(ctx context.Context) (status group.Status, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: status") }()
	row, err := c.call(ctx, "SELECT * FROM basilmill.status()", 9)
	if err != nil {
		return group.Status{}, err
	}
	f := fields{row: row}
	status = group.Status{
		Server:     group.ServerID(f.text(0)),
		Role:       f.role(1),
		Term:       group.Term(f.number(2)),
		TermStart:  group.Offset(f.number(3)),
		Generation: group.Generation(f.number(4)),
		Successor:  group.ServerID(f.text(5)),
		Received:   group.Offset(f.number(6)),
		Applied:    group.Offset(f.number(7)),
		Leaving:    f.boolean(8),
	}
	return status, f.err
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
	f := fields{row: row}
	position := group.Position{Term: group.Term(f.number(0)), Offset: group.Offset(f.number(2))}
	return position, group.Generation(f.number(1)), f.err
}

// Promote makes the server the primary of the term. It returns the offset at
// which the term starts.
func (c *ControlClient) Promote(ctx context.Context, term group.Term, generation group.Generation, successor group.ServerID) (start group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: promote") }()
	return c.command(ctx, fmt.Sprintf("SELECT basilmill.promote(%d, %d, %s)", term, generation, quote(string(successor))))
}

// SetSuccessor makes the primary feed another successor under a generation. It
// returns the end of the primary's log at that moment.
func (c *ControlClient) SetSuccessor(ctx context.Context, term group.Term, generation group.Generation, server group.ServerID) (end group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: set successor") }()
	return c.command(ctx, fmt.Sprintf("SELECT basilmill.set_successor(%d, %d, %s)", term, generation, quote(string(server))))
}

// Follow makes the server a replica of the primary at the address.
func (c *ControlClient) Follow(ctx context.Context, term group.Term, server group.ServerID, address netip.AddrPort) (err error) {
	defer func() { err = eris.Wrap(err, "backendserver: follow") }()
	_, err = c.call(ctx, fmt.Sprintf("SELECT basilmill.follow(%d, %s, %s)", term, quote(string(server)), quote(address.String())), 1)
	return err
}

// Quiesce makes the primary refuse new writes. It returns the final offset
// once open transactions have ended.
func (c *ControlClient) Quiesce(ctx context.Context, term group.Term) (end group.Offset, err error) {
	defer func() { err = eris.Wrap(err, "backendserver: quiesce") }()
	return c.command(ctx, "SELECT basilmill.quiesce("+decimal(term)+")")
}

// Close closes the connection after the call in progress, if any.
func (c *ControlClient) Close() {
	conn := <-c.turn
	if conn != nil {
		closeNow(context.Background(), conn)
	}
	c.turn <- nil
}

func (c *ControlClient) command(ctx context.Context, sql string) (group.Offset, error) {
	row, err := c.call(ctx, sql, 1)
	if err != nil {
		return 0, err
	}
	f := fields{row: row}
	return group.Offset(f.number(0)), f.err
}

// call runs a statement that returns one row of the given width.
func (c *ControlClient) call(ctx context.Context, sql string, width int) (row [][]byte, err error) {
	var conn *pgconn.PgConn
	select {
	case conn = <-c.turn:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() {
		if conn != nil && conn.IsClosed() {
			conn = nil
		}
		c.turn <- conn
	}()
	if conn == nil {
		if conn, err = c.dialer.open(ctx, c.address, c.database); err != nil {
			return nil, err
		}
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, commandError(ctx, conn, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != width {
		return nil, eris.Errorf("answer is not one row of %d columns", width)
	}
	return results[0].Rows[0], nil
}

// commandError closes the connection unless the server answered with an
// ordinary error.
func commandError(ctx context.Context, conn *pgconn.PgConn, err error) error {
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

// fields reads the columns of a row and keeps the first error.
type fields struct {
	row [][]byte
	err error
}

func (f *fields) text(i int) string { return string(f.row[i]) }

func (f *fields) number(i int) int64 {
	n, err := strconv.ParseInt(string(f.row[i]), 10, 64)
	if err != nil && f.err == nil {
		f.err = eris.Wrapf(err, "column %d", i)
	}
	return n
}

func (f *fields) boolean(i int) bool {
	b, err := strconv.ParseBool(string(f.row[i]))
	if err != nil && f.err == nil {
		f.err = eris.Wrapf(err, "column %d", i)
	}
	return b
}

func (f *fields) role(i int) group.Role {
	switch f.text(i) {
	case group.Primary.String():
		return group.Primary
	case group.Replica.String():
	default:
		if f.err == nil {
			f.err = eris.Errorf("column %d: unknown role %q", i, f.text(i))
		}
	}
	return group.Replica
}
