package peer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/io/peer"
)

// echoServer sends back whatever it receives.
func echoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func connect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

// startRelay starts a relay to the server "a", the only one that it accepts.
func startRelay(t *testing.T, maxConnections int64) (*peer.Relay, netip.AddrPort) {
	t.Helper()
	target := echoServer(t)
	relay := &peer.Relay{MaxConnections: maxConnections, Connect: func(ctx context.Context, server group.ServerID) (net.Conn, error) {
		if server != "a" {
			return nil, errors.New("unknown server")
		}
		return connect(ctx, target)
	}}
	_, handler := relay.Handler()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return relay, netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Guards against bytes that are lost or altered in either direction, and against
// a connection to the server that outlives the other side, so that the server
// does not roll back its transaction.
func TestRelayForwardsBytes(t *testing.T) {
	relay, address := startRelay(t, 4)
	conn, err := peer.DialThrough(context.Background(), connect, address, "a")
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "QUERY 1 READ x\r\n")
	assert.NilError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "QUERY 1 READ x\r\n")
	assert.Equal(t, relay.OpenConnections(), int64(1))
	assert.Assert(t, relay.ActiveWithin(time.Minute))
	assert.NilError(t, conn.Close())
	for deadline := time.Now().Add(5 * time.Second); relay.OpenConnections() > 0; {
		if time.Now().After(deadline) {
			t.Fatal("the connection to the server is still open after 5 s")
		}
		time.Sleep(5 * time.Millisecond) // A synctest clock does not cover real sockets.
	}
}

// Guards against a relay to an unknown server, and against more relayed
// connections than the limit.
func TestRelayRefuses(t *testing.T) {
	_, address := startRelay(t, 1)
	_, err := peer.DialThrough(context.Background(), connect, address, "b")
	assert.ErrorContains(t, err, "status 502")
	conn, err := peer.DialThrough(context.Background(), connect, address, "a")
	assert.NilError(t, err)
	_, err = peer.DialThrough(context.Background(), connect, address, "a")
	assert.ErrorContains(t, err, "status 503")
	assert.NilError(t, conn.Close())
}

// Guards against a stopping host that accepts connections which it would soon
// break.
func TestClosedRelayRefuses(t *testing.T) {
	relay, address := startRelay(t, 1)
	relay.Close()
	_, err := peer.DialThrough(context.Background(), connect, address, "a")
	assert.ErrorContains(t, err, "status 503")
	assert.Assert(t, !relay.ActiveWithin(time.Minute))
}
