package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushSize is the amount of answer that is collected before it is
	// written. It is PostgreSQL's own buffer size, doubled because rows are
	// copied once more here.
	flushSize = 16 << 10

	// maxHeld bounds what is withheld of one answer.
	maxHeld = 1 << 20
)

// deadlineConn sets a deadline for each write, which ends sessions whose
// caller does not read, and counts the bytes read.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
	read         atomic.Int64
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// stream writes answers to a caller. Since the last mark, an answer that has
// not been written can be dropped, so that its request can run elsewhere.
type stream struct {
	conn   net.Conn
	out    []byte
	held   []byte
	marked int
	// passedOn is set when a part of the answer since the mark was written.
	passedOn bool
	err      error
}

func (s *stream) send(m pgproto3.BackendMessage) {
	s.out = s.encode(s.out, m)
	if len(s.out) >= flushSize {
		s.flush()
	}
}

// hold keeps a message until release. It reports whether there is room.
func (s *stream) hold(m pgproto3.BackendMessage) bool {
	s.held = s.encode(s.held, m)
	return len(s.held) <= maxHeld
}

func (s *stream) encode(buffer []byte, m pgproto3.BackendMessage) []byte {
	encoded, err := m.Encode(buffer)
	if err != nil {
		s.fail(err)
		return buffer
	}
	return encoded
}

func (s *stream) release() {
	s.out = append(s.out, s.held...)
	s.held = s.held[:0]
	if len(s.out) >= flushSize {
		s.flush()
	}
}

func (s *stream) dropHeld() { s.held = s.held[:0] }

func (s *stream) mark() {
	s.marked = len(s.out)
	s.passedOn = false
	s.dropHeld()
}

// rewind drops the answer since the mark and reports whether it could.
func (s *stream) rewind() bool {
	if s.passedOn {
		return false
	}
	s.out = s.out[:s.marked]
	s.dropHeld()
	return true
}

func (s *stream) flush() {
	if len(s.out) == 0 || s.err != nil {
		return
	}
	if len(s.out) > s.marked {
		s.passedOn = true
	}
	_, err := s.conn.Write(s.out)
	s.fail(err)
	s.out, s.marked = s.out[:0], 0
	if cap(s.out) > 4*flushSize {
		s.out = nil
	}
}

func (s *stream) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}
