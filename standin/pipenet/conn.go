package pipenet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// chunkSize bounds the bytes that are read from a sender at once.
const chunkSize = 32 << 10

// conn is one end of a connection: a pipe to the two streams, with addresses.
type conn struct {
	net.Conn
	local, remote net.Addr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// chunk is data in transit, or the end of the stream if data is nil. It is
// delivered at the time due.
type chunk struct {
	data []byte
	due  time.Time
}

// stream carries the bytes of a connection in one direction. One goroutine reads
// what the sender writes, so that the sender does not wait for the receiver, and
// another delivers it when it is due.
type stream struct {
	source, target net.Conn
	// reverse is the stream of the other direction.
	reverse *stream

	mu          sync.Mutex
	queue       []chunk
	queued      chan struct{} // has an element if the queue may be non-empty
	resetSignal chan struct{} // closed by reset
	once        sync.Once
}

// connect returns both ends of a new connection over the link of a pair of data
// centres.
func (n *Network) connect(p pair, local, remote netip.AddrPort) (client, server net.Conn) {
	clientEnd, clientRelay := net.Pipe()
	serverEnd, serverRelay := net.Pipe()
	outbound := newStream(clientRelay, serverRelay)
	inbound := newStream(serverRelay, clientRelay)
	outbound.reverse, inbound.reverse = inbound, outbound
	var wg sync.WaitGroup
	for _, s := range []*stream{outbound, inbound} {
		n.mu.Lock()
		n.streams[s] = p
		n.mu.Unlock()
		wg.Go(func() { s.readSource(n, p) })
		wg.Go(func() { s.deliver(n, p) })
	}
	go func() {
		wg.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.streams, outbound)
		delete(n.streams, inbound)
	}()
	localAddr, remoteAddr := net.TCPAddrFromAddrPort(local), net.TCPAddrFromAddrPort(remote)
	return &conn{clientEnd, localAddr, remoteAddr}, &conn{serverEnd, remoteAddr, localAddr}
}

func newStream(source, target net.Conn) *stream {
	return &stream{
		source: source, target: target,
		queued: make(chan struct{}, 1), resetSignal: make(chan struct{}),
	}
}

// readSource queues what the sender writes, until the sender closes its end.
func (s *stream) readSource(n *Network, p pair) {
	buffer := make([]byte, chunkSize)
	for {
		count, err := s.source.Read(buffer)
		due := time.Now().Add(n.snapshot(p).sampleDelay())
		if count > 0 {
			s.push(chunk{append([]byte(nil), buffer[:count]...), due})
		}
		if err != nil {
			s.push(chunk{nil, due})
			return
		}
	}
}

func (s *stream) push(c chunk) {
	s.mu.Lock()
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	select {
	case s.queued <- struct{}{}:
	default:
	}
}

func (s *stream) pop() (c chunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return chunk{}, false
	}
	c, s.queue = s.queue[0], s.queue[1:]
	return c, true
}

// deliver writes chunks to the receiver when they are due. At the end of the
// stream, or after a reset, it closes the receiver's end.
func (s *stream) deliver(n *Network, p pair) {
	defer func() { _ = s.target.Close() }()
	for {
		c, ok := s.pop()
		if !ok {
			select {
			case <-s.queued:
				continue
			case <-s.resetSignal:
				return
			}
		}
		if !s.waitUntilDue(n, p, c.due) || c.data == nil {
			return
		}
		if _, err := s.target.Write(c.data); err != nil {
			return
		}
	}
}

// waitUntilDue waits until a chunk is due and the link is up. It returns false if
// the stream is reset.
func (s *stream) waitUntilDue(n *Network, p pair, due time.Time) bool {
	for {
		l := n.snapshot(p)
		if l.state == Up && !time.Now().Before(due) {
			return true
		}
		var timerFired <-chan time.Time
		if l.state == Up {
			timer := time.NewTimer(time.Until(due))
			defer timer.Stop()
			timerFired = timer.C
		}
		select {
		case <-timerFired:
		case <-l.changed:
		case <-s.resetSignal:
			return false
		}
	}
}

// reset closes both ends of the connection without delivering queued chunks.
func (s *stream) reset() {
	for _, direction := range []*stream{s, s.reverse} {
		direction.once.Do(func() { close(direction.resetSignal) })
		_ = direction.source.Close()
	}
}
