package backendserver

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Ping checks that the server process at the address answers. It opens a new
// connection and sends an SSLRequest, which a server answers before it counts the
// connection against its limit or authenticates it. Unlike a status query on an
// open connection, a ping is not delayed by retransmissions of earlier packets.
// Ping calls accepted once the TCP connection is accepted, which shows that the
// operating system of the server is running. A nil error means that the server
// process answered.
func (d Dialer) Ping(ctx context.Context, address netip.AddrPort, accepted func()) (err error) {
	defer func() { err = eris.Wrapf(err, "backendserver: ping %s", address) }()
	dial := d.DialFunc
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	accepted()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(request); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}
