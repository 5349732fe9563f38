package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushSize is the number of bytes of an answer that are buffered before
	// they are written. It is twice PostgreSQL's own buffer size, because the
	// host copies each row once more.
	flushSize = 16 << 10

	// maxIdleBufferSize bounds each buffer in bytes that a session keeps between two
	// requests.
	maxIdleBufferSize = 4 << 10

	// maxHeldSize bounds the bytes of one answer that are held until a write is
	// confirmed.
	maxHeldSize = 1 << 20
)

// deadlineConn sets a deadline for each write, so that sessions whose caller does
// not read end, and counts the bytes read.
type deadlineConn struct {
	net.Conn
	writeTimeout time.Duration
	bytesRead    atomic.Int64
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// stream writes answers to a caller. An answer since the last mark can be dropped
// as long as no part of it has been written, so that its request can run on
// another server.
type stream struct {
	conn       net.Conn
	out        []byte // output not yet written
	held       []byte // messages held until release or dropHeld
	markOffset int    // offset of the mark in out
	// partWritten is set if part of the answer since the mark was written.
	partWritten bool
	err         error
}

func (s *stream) send(m pgproto3.BackendMessage) {
	s.reserveOutput()
	s.out = s.encode(s.out, m)
	if len(s.out) >= flushSize {
		s.flush()
	}
}

// hold keeps a message until stream.release or dropHeld. It reports whether the
// held messages are within maxHeldSize.
func (s *stream) hold(m pgproto3.BackendMessage) bool {
	s.held = s.encode(s.held, m)
	return len(s.held) <= maxHeldSize
}

func (s *stream) encode(buffer []byte, m pgproto3.BackendMessage) []byte {
	encoded, err := m.Encode(buffer)
	if err != nil {
		s.setError(err)
		return buffer
	}
	return encoded
}

// release adds the held messages to the output.
func (s *stream) release() {
	s.reserveOutput()
	s.out = append(s.out, s.held...)
	s.held = s.held[:0]
	if len(s.out) >= flushSize {
		s.flush()
	}
}

func (s *stream) dropHeld() { s.held = s.held[:0] }

// mark marks the start of an answer.
func (s *stream) mark() {
	s.markOffset = len(s.out)
	s.partWritten = false
	s.dropHeld()
}

// rewind drops the answer since the mark. It returns false if part of the answer
// has already been written.
func (s *stream) rewind() bool {
	if s.partWritten {
		return false
	}
	s.out = s.out[:s.markOffset]
	s.dropHeld()
	return true
}

func (s *stream) flush() {
	if len(s.out) == 0 || s.err != nil {
		return
	}
	if len(s.out) > s.markOffset {
		s.partWritten = true
	}
	_, err := s.conn.Write(s.out)
	s.setError(err)
	s.out, s.markOffset = s.out[:0], 0
	if cap(s.out) > 4*flushSize {
		s.out = nil
	}
}

// outputBuffers holds output buffers of more than maxIdleBufferSize, as *[]byte.
// Sessions take one for the time of a request.
var outputBuffers sync.Pool

// reserveOutput takes an output buffer if the session has none.
func (s *stream) reserveOutput() {
	if s.out != nil {
		return
	}
	if pooled, ok := outputBuffers.Get().(*[]byte); ok {
		s.out = *pooled
	}
}

// releaseBuffers gives back the buffers that a session does not need between two
// requests.
func (s *stream) releaseBuffers() {
	if cap(s.held) > maxIdleBufferSize {
		s.held = nil
	}
	if cap(s.out) > maxIdleBufferSize && len(s.out) == 0 {
		pooled := s.out
		s.out = nil
		outputBuffers.Put(&pooled)
	}
}

// setError keeps the first error, after which nothing more is written.
func (s *stream) setError(err error) {
	if s.err == nil {
		s.err = err
	}
}
