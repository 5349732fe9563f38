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
	// upgraded to an unframed byte stream, because connect-go has no
	// bidirectional streams over HTTP/1.1, and a frame for each message would
	// cost processor time on both hosts.
	relayPath = "/basilmill.relay/"
	// relayProtocol is the protocol in the Upgrade header.
	relayProtocol = "basilmill-relay"
	// relayDialTimeout bounds the opening of a connection to a backend server.
	// It allows several round trips between regions.
	relayDialTimeout = 250 * time.Millisecond
	// relayWriteTimeout bounds one write, in case the receiving side has stopped
	// reading.
	relayWriteTimeout = 2 * time.Second
)

// Relay is an HTTP handler through which other hosts connect to backend servers
// that they cannot reach directly.
type Relay struct {
	// Connect opens a connection to a backend server. It fails for a server
	// that is unknown to this host.
	Connect func(ctx context.Context, server group.ServerID) (net.Conn, error)
	// MaxConnections is the maximum number of open relayed connections.
	MaxConnections int64

	// connections counts the requests in progress, of which each open relayed
	// connection is one.
	connections atomic.Int64
	// lastWrite is when bytes were last written to either side.
	lastWrite atomic.Pointer[time.Time]
	closed    atomic.Bool
}

// Close makes the relay refuse new connections. Open ones stay open.
func (r *Relay) Close() { r.closed.Store(true) }

// ActiveWithin reports whether a connection is open and bytes were relayed within
// the given time before now.
func (r *Relay) ActiveWithin(period time.Duration) bool {
	lastWrite := r.lastWrite.Load()
	return r.OpenConnections() > 0 && lastWrite != nil && time.Since(*lastWrite) < period
}

// OpenConnections returns the number of relayed connections, including those that
// are being opened.
func (r *Relay) OpenConnections() int64 { return r.connections.Load() }

// Handler returns the path and the handler of the relay.
func (r *Relay) Handler() (path string, handler http.Handler) { return relayPath, r }

// ServeHTTP connects to the backend server in the path, upgrades the request's
// connection and copies bytes between both until either side closes.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	defer r.connections.Add(-1)
	if r.connections.Add(1) > r.MaxConnections || r.closed.Load() {
		http.Error(w, "no more connections are passed on", http.StatusServiceUnavailable)
		return
	}
	server := group.ServerID(request.URL.Path[len(relayPath):])
	ctx, cancel := context.WithTimeout(request.Context(), relayDialTimeout)
	defer cancel()
	serverConn, err := r.Connect(ctx, server)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = serverConn.Close() }() // A failure to close loses no relayed bytes.
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "the connection cannot be switched", http.StatusInternalServerError)
		return
	}
	hostConn, buffered, err := hijacker.Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer func() { _ = hostConn.Close() }()
	_, err = io.WriteString(hostConn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+relayProtocol+"\r\n\r\n")
	if err != nil {
		return
	}
	r.copyBoth(hostConn, buffered.Reader, serverConn)
}

// copyBoth copies in both directions until one of them ends. hostReader also
// returns the bytes of hostConn that were buffered before the upgrade.
func (r *Relay) copyBoth(hostConn net.Conn, hostReader io.Reader, serverConn net.Conn) {
	var wait sync.WaitGroup
	copyTo := func(to net.Conn, from io.Reader) {
		// The end of one direction ends the connection for both sides, whatever
		// the reason.
		_, _ = io.Copy(relayWriter{r, to}, from)
		_ = hostConn.Close()
		_ = serverConn.Close()
	}
	wait.Go(func() { copyTo(serverConn, hostReader) })
	wait.Go(func() { copyTo(hostConn, serverConn) })
	wait.Wait()
}

// relayWriter writes to one side of a relayed connection, with a timeout for each
// write, and records the time of the write.
type relayWriter struct {
	relay *Relay
	conn  net.Conn
}

func (w relayWriter) Write(data []byte) (int, error) {
	now := time.Now()
	w.relay.lastWrite.Store(&now)
	if err := w.conn.SetWriteDeadline(now.Add(relayWriteTimeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(data)
}

// errRelayRefused is the error of a host that did not relay a connection.
var errRelayRefused = errors.New("the host refused to relay the connection")

// DialThrough opens a connection to a backend server through the Relay of the
// host at the address. connect opens the connection to that host.
func DialThrough(ctx context.Context, connect func(context.Context, netip.AddrPort) (net.Conn, error), address netip.AddrPort, server group.ServerID) (_ net.Conn, err error) {
	defer func() { err = eris.Wrapf(err, "connect to %s through %s", server, address) }()
	conn, err := connect(ctx, address)
	if err != nil {
		return nil, err
	}
	relayed, err := upgradeToRelay(ctx, conn, address, server)
	if err != nil {
		// The connection is discarded, so a failure to close it does not matter.
		_ = conn.Close()
		return nil, err
	}
	return relayed, nil
}

func upgradeToRelay(ctx context.Context, conn net.Conn, address netip.AddrPort, server group.ServerID) (net.Conn, error) {
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
		return nil, eris.Wrapf(errRelayRefused, "status %d", response.StatusCode)
	}
	return &relayedConn{Conn: conn, reader: reader}, conn.SetDeadline(time.Time{})
}

// relayedConn is a connection through a relay. Its first bytes may have been read
// into reader together with the HTTP response.
type relayedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (r *relayedConn) Read(data []byte) (int, error) { return r.reader.Read(data) }
