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

// Ping opens a connection of its own and asks whether the server offers TLS,
// which a server answers before it counts or authenticates the connection.
// Unlike a status query on an open connection, a ping does not wait behind the
// retransmissions of earlier packets. Accepted is called when the server's
// host accepted the connection; a nil error means that the server process
// answered.
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
