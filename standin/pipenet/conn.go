package pipenet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// chunkSize bounds the bytes that one read takes from a sender.
const chunkSize = 32 << 10

// conn is one end of a connection: a pipe to the streams with addresses.
type conn struct {
	net.Conn
	local, remote net.Addr
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// chunk is data under way, or the end of the stream when data is nil.
type chunk struct {
	data []byte
	due  time.Time
}

// stream carries bytes in one direction. Its sender never blocks for long:
// one goroutine takes what is written, another delivers it when it is due.
type stream struct {
	source, target net.Conn
	// opposite is the stream of the other direction.
	opposite *stream

	mu     sync.Mutex
	queue  []chunk
	filled chan struct{} // has an element while the queue may be filled
	broken chan struct{} // closed by reset
	once   sync.Once
}

// connect returns both ends of a new connection.
func (n *Network) connect(p pair, local, remote netip.AddrPort) (client, server net.Conn) {
	near, nearRelay := net.Pipe()
	far, farRelay := net.Pipe()
	forth := newStream(nearRelay, farRelay)
	back := newStream(farRelay, nearRelay)
	forth.opposite, back.opposite = back, forth
	var running sync.WaitGroup
	for _, s := range []*stream{forth, back} {
		n.mu.Lock()
		n.streams[s] = p
		n.mu.Unlock()
		running.Go(func() { s.collect(n, p) })
		running.Go(func() { s.deliver(n, p) })
	}
	go func() {
		running.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.streams, forth)
		delete(n.streams, back)
	}()
	localAddr, remoteAddr := net.TCPAddrFromAddrPort(local), net.TCPAddrFromAddrPort(remote)
	return &conn{near, localAddr, remoteAddr}, &conn{far, remoteAddr, localAddr}
}

func newStream(source, target net.Conn) *stream {
	return &stream{
		source: source, target: target,
		filled: make(chan struct{}, 1), broken: make(chan struct{}),
	}
}

// collect queues what the sender writes until the sender closes its end.
func (s *stream) collect(n *Network, p pair) {
	buffer := make([]byte, chunkSize)
	for {
		count, err := s.source.Read(buffer)
		due := time.Now().Add(n.observe(p).delay())
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
	case s.filled <- struct{}{}:
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

// deliver writes chunks to the receiver when they are due. After the end of
// the stream, or a reset, it closes the receiver's end.
func (s *stream) deliver(n *Network, p pair) {
	defer func() { _ = s.target.Close() }()
	for {
		c, ok := s.pop()
		if !ok {
			select {
			case <-s.filled:
				continue
			case <-s.broken:
				return
			}
		}
		if !s.await(n, p, c.due) || c.data == nil {
			return
		}
		if _, err := s.target.Write(c.data); err != nil {
			return
		}
	}
}

// await waits until a chunk is due and the link is up. It returns false when
// the stream is reset.
func (s *stream) await(n *Network, p pair, due time.Time) bool {
	for {
		l := n.observe(p)
		if l.state == Up && !time.Now().Before(due) {
			return true
		}
		var arrived <-chan time.Time
		if l.state == Up {
			timer := time.NewTimer(time.Until(due))
			defer timer.Stop()
			arrived = timer.C
		}
		select {
		case <-arrived:
		case <-l.changed:
		case <-s.broken:
			return false
		}
	}
}

// reset closes both ends of the connection at once.
func (s *stream) reset() {
	for _, each := range []*stream{s, s.opposite} {
		each.once.Do(func() { close(each.broken) })
		_ = each.source.Close()
	}
}
