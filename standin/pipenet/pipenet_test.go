package pipenet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/host"
	"basilmill/standin/pipenet"
)

const (
	gent  = host.DataCentre("gent-a")
	namur = host.DataCentre("namur-a")
)

var address = netip.MustParseAddrPort("10.0.0.1:5432")

// withConnection runs a test with a connection from gent to namur, with a one-way
// latency of 4 ms.
func withConnection(t *testing.T, test func(t *testing.T, n *pipenet.Network, client, server net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := pipenet.New()
		defer n.Close()
		n.SetLatency(gent, namur, 4*time.Millisecond)
		listener, err := n.Listen(namur, address)
		assert.NilError(t, err)
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, _ := listener.Accept()
			accepted <- conn
		}()
		started := time.Now()
		client, err := dial(t.Context(), n)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), 8*time.Millisecond)
		assert.Equal(t, client.RemoteAddr().String(), address.String())
		test(t, n, client, <-accepted)
	})
}

func dial(ctx context.Context, n *pipenet.Network) (net.Conn, error) {
	return n.Dialer(gent, netip.MustParseAddr("10.0.0.9"))(ctx, "tcp", address.String())
}

// Guards against writes that wait for the reader, bytes that arrive early or out
// of order, and a close that arrives before the bytes written earlier.
func TestLatency(t *testing.T) {
	withConnection(t, func(t *testing.T, _ *pipenet.Network, client, server net.Conn) {
		text := strings.Repeat("lineage ", 2_000)
		started := time.Now()
		for part := range strings.SplitSeq(text, "e") {
			_, err := io.WriteString(client, part+"e")
			assert.NilError(t, err)
		}
		assert.NilError(t, client.Close())
		assert.Equal(t, time.Since(started), time.Duration(0))
		got, err := io.ReadAll(server)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text+"e")
		assert.Equal(t, time.Since(started), 4*time.Millisecond)
	})
}

// Guards against bytes that arrive before bytes written earlier with a longer
// delay.
func TestJitterKeepsOrder(t *testing.T) {
	withConnection(t, func(t *testing.T, n *pipenet.Network, client, server net.Conn) {
		delays := []time.Duration{50 * time.Millisecond, 0}
		n.SetJitter(gent, namur, func() (next time.Duration) {
			next, delays = delays[0], delays[1:]
			return next
		})
		started := time.Now()
		for _, text := range []string{"one", "two"} {
			_, err := io.WriteString(client, text)
			assert.NilError(t, err)
			synctest.Wait()
		}
		buffer := make([]byte, 6)
		_, err := io.ReadFull(server, buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer), "onetwo")
		assert.Equal(t, time.Since(started), 54*time.Millisecond)
		n.SetJitter(gent, namur, nil)
	})
}

// Guards against a black hole that drops or delivers bytes, and a link that goes
// down but leaves connections open or accepts new ones.
func TestLinkStates(t *testing.T) {
	withConnection(t, func(t *testing.T, n *pipenet.Network, client, server net.Conn) {
		n.SetLinkState(namur, gent, pipenet.BlackHole)
		_, err := io.WriteString(client, "held")
		assert.NilError(t, err)
		assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Minute)))
		buffer := make([]byte, 8)
		_, err = server.Read(buffer)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = dial(ctx, n)
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		n.SetLinkState(gent, namur, pipenet.Up)
		assert.NilError(t, server.SetReadDeadline(time.Time{}))
		count, err := server.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:count]), "held")

		n.SetLinkState(gent, namur, pipenet.Down)
		_, err = server.Read(buffer)
		assert.Assert(t, err != nil)
		_, err = dial(t.Context(), n)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}
