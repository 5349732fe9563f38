package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

const (
	// relayPath is followed by the id of the backend server. The connection is
	// switched to plain bytes: connect-go has no streams of bytes in both
	// directions over HTTP/1.1, and a frame a message would cost both hosts.
	relayPath = "/basilmill.relay/"
	// relayProtocol names the bytes that follow.
	relayProtocol = "basilmill-relay"
	// relayOpenTime bounds the opening to the server: several round trips
	// between regions.
	relayOpenTime = 250 * time.Millisecond
	// relayWriteTime bounds a write to a side that does not read.
	relayWriteTime = 2 * time.Second
)

// Relay passes on connections to backend servers for other hosts.
type Relay struct {
	// Connect opens a connection to a server that this host knows.
	Connect func(ctx context.Context, server group.ServerID) (net.Conn, error)
	// MaxConnections bounds the connections at a time.
	MaxConnections int64

	open atomic.Int64
	// passed is when bytes were last passed on.
	passed atomic.Pointer[time.Time]
	closed atomic.Bool
}

// Close makes the relay refuse new connections. Open ones go on.
func (r *Relay) Close() { r.closed.Store(true) }

// ActiveWithin reports whether bytes were passed on within the given time.
func (r *Relay) ActiveWithin(within time.Duration) bool {
	passed := r.passed.Load()
	return r.OpenConnections() > 0 && passed != nil && time.Since(*passed) < within
}

// OpenConnections returns the number of connections that are passed on.
func (r *Relay) OpenConnections() int64 { return r.open.Load() }

// Handler returns the path and the handler of the relay.
func (r *Relay) Handler() (path string, handler http.Handler) { return relayPath, r }

// ServeHTTP opens a connection and passes on its bytes until a side closes.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer r.open.Add(-1)
	if r.open.Add(1) > r.MaxConnections || r.closed.Load() {
		http.Error(w, "no more connections are passed on", http.StatusServiceUnavailable)
		return
	}
	server := group.ServerID(request.URL.Path[len(relayPath):])
	ctx, cancel := context.WithTimeout(request.Context(), relayOpenTime)
	defer cancel()
	far, err := r.Connect(ctx, server)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = far.Close() }() // The bytes have been passed on or lost by now.
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "the connection cannot be switched", http.StatusInternalServerError)
		return
	}
	near, buffered, err := hijacker.Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer func() { _ = near.Close() }()
	_, err = io.WriteString(near, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+relayProtocol+"\r\n\r\n")
	if err != nil {
		return
	}
	r.passOn(near, buffered.Reader, far)
}

// passOn copies in both directions until one of them ends.
func (r *Relay) passOn(near net.Conn, nearReader io.Reader, far net.Conn) {
	var wait sync.WaitGroup
	copyTo := func(to net.Conn, from io.Reader) {
		// The end of a direction is the end of the connection; which side ended
		// it does not matter to the other.
		_, _ = io.Copy(passing{r, to}, from)
		_ = near.Close()
		_ = far.Close()
	}
	wait.Go(func() { copyTo(far, nearReader) })
	wait.Go(func() { copyTo(near, far) })
	wait.Wait()
}

// passing is the side of a relay that is written to.
type passing struct {
	relay *Relay
	conn  net.Conn
}

func (p passing) Write(data []byte) (int, error) {
	now := time.Now()
	p.relay.passed.Store(&now)
	if err := p.conn.SetWriteDeadline(now.Add(relayWriteTime)); err != nil {
		return 0, err
	}
	return p.conn.Write(data)
}

// errNotRelayed is the error of a host that does not pass on a connection.
var errNotRelayed = errors.New("the host does not pass on the connection")

// DialThrough opens a connection to a backend server that the host at the
// address passes on. connect opens the connection to the host.
func DialThrough(ctx context.Context, connect func(context.Context, netip.AddrPort) (net.Conn, error), address netip.AddrPort, server group.ServerID) (_ net.Conn, err error) {
	defer func() { err = eris.Wrapf(err, "connect to %s through %s", server, address) }()
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	relayed, err := switchToRelay(ctx, conn, address, server)
	if err != nil {
		// The connection is of no further use, whatever Close returns.
		_ = conn.Close()
		return nil, err
	}
	return relayed, nil
}

func switchToRelay(ctx context.Context, conn net.Conn, address netip.AddrPort, server group.ServerID) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: relayPath + string(server)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", relayProtocol)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := response.Body.Close(); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, eris.Wrapf(errNotRelayed, "status %d", response.StatusCode)
	}
	return &relayed{Conn: conn, reader: reader}, conn.SetDeadline(time.Time{})
}

// relayed is a connection whose first bytes may have been read with the
// response.
type relayed struct {
	net.Conn
	reader *bufio.Reader
}

func (r *relayed) Read(data []byte) (int, error) { return r.reader.Read(data) }
