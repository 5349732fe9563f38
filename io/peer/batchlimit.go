package peer

import (
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"basilmill/core/budget"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

// LimitBatches makes the large batches that the handler of a gateway's service receives
// count against the budget of clients. A stream whose batch does not fit ends with an
// error.
func LimitBatches(handler http.Handler, b *budget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peerpbconnect.GatewayExecuteProcedure {
			body := &batchBody{ReadCloser: r.Body, writer: w}
			body.holder = b.Open(r.RemoteAddr, body.endReads)
			defer body.finish()
			body.holder.Enter(budget.Idle)
			r.Body = body
		}
		handler.ServeHTTP(w, r)
	})
}

const (
	// prefixSize is the size of the flags and of the length before each message.
	prefixSize = 5
	// batchFactor is how many times a batch is counted: as it is received, and decoded.
	batchFactor = 2
)

// batchBody is the body of a stream of batches. It counts the bytes of a large batch until
// the next one is read.
type batchBody struct {
	io.ReadCloser
	holder *budget.Holder

	prefix     [prefixSize]byte
	prefixRead int
	// size is that of the current batch, of which remaining bytes have not been read.
	size, remaining uint32
	counted         int

	mu sync.Mutex
	// writer is nil after the handler has returned, when it must not be used any more.
	writer http.ResponseWriter
}

// endReads makes the reads of the body fail.
func (b *batchBody) endReads() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writer != nil {
		// A writer without deadlines is not one of an HTTP server.
		_ = http.NewResponseController(b.writer).SetReadDeadline(time.Unix(1, 0))
	}
}

// finish gives everything back when the handler returns.
func (b *batchBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writer = nil
	b.holder.Close()
}

// Read implements io.Reader.
func (b *batchBody) Read(data []byte) (int, error) {
	if b.remaining == 0 && b.counted > 0 {
		b.holder.Return(budget.Message, b.counted)
		b.counted = 0
		b.holder.Enter(budget.Idle)
	}
	n, err := b.ReadCloser.Read(data)
	if large := b.scan(data[:n]); large > 0 {
		if !b.holder.Take(budget.Message, batchFactor*large) {
			return 0, budget.ErrExceeded
		}
		b.counted += batchFactor * large
		b.holder.Progress(n)
		if b.remaining == 0 {
			b.holder.Enter(budget.Executing)
		}
	}
	return n, err
}

// scan follows the messages in data and returns how many of its bytes are those of large
// ones.
func (b *batchBody) scan(data []byte) (large int) {
	for len(data) > 0 {
		if b.remaining == 0 {
			n := copy(b.prefix[b.prefixRead:], data)
			b.prefixRead += n
			data = data[n:]
			if b.prefixRead < prefixSize {
				return large
			}
			b.prefixRead = 0
			b.size = binary.BigEndian.Uint32(b.prefix[1:])
			b.remaining = b.size
			continue
		}
		n := min(len(data), int(b.remaining))
		data = data[n:]
		b.remaining -= uint32(n) //nolint:gosec // at most remaining
		if b.size > maxRequestBytes {
			large += n
		}
	}
	return large
}
