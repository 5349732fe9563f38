package backendserver_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/io/backendserver"
)

var address = netip.MustParseAddrPort("127.0.0.1:5432")

// fake is a server that answers over net.Pipe and records what it received.
type fake struct {
	mu  sync.Mutex
	log []string
	// answer handles a message; it returns false to drop the connection.
	answer func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool
	// refuse is sent instead of accepting a connection.
	refuse *pgproto3.ErrorResponse
}

func (f *fake) dialer() backendserver.Dialer {
	return backendserver.Dialer{User: "basilmill", DialFunc: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go f.serve(server)
		return client, nil
	}}
}

func (f *fake) record(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, entry)
}

// received returns the log since the last call.
func (f *fake) received() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := strings.Join(f.log, " ")
	f.log = nil
	return all
}

func (f *fake) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	start, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := start.(*pgproto3.CancelRequest); ok {
		f.record("cancel")
		return
	}
	if f.refuse != nil {
		b.Send(f.refuse)
		_ = b.Flush()
		return
	}
	f.record("open")
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		f.record(describe(m))
		if _, ok := m.(*pgproto3.Terminate); ok || !f.answer(b, m) {
			return
		}
	}
}

func describe(m pgproto3.FrontendMessage) string {
	switch m := m.(type) {
	case *pgproto3.Query:
		return "query(" + m.String + ")"
	case *pgproto3.Parse:
		return "parse(" + m.Name + ")"
	case *pgproto3.Close:
		return "close(" + m.Name + ")"
	case *pgproto3.Sync:
		return "sync"
	case *pgproto3.Terminate:
		return "terminate"
	default:
		return "other"
	}
}

// ordinary answers as a server does that has no data.
func ordinary(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		status := byte('I')
		if m.String == "BEGIN" {
			status = 'T'
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(m.String)})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	case *pgproto3.Parse:
		b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Close:
		b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	return true
}

// exchange sends a batch and returns the types of the answers up to the last
// ReadyForQuery.
func exchange(t *testing.T, c backendserver.Conversation, ready int, batch ...pgproto3.FrontendMessage) (answers []string, err error) {
	t.Helper()
	if err := c.Send(t.Context(), batch...); err != nil {
		return nil, err
	}
	for ready > 0 {
		m, err := c.Receive(t.Context())
		if err != nil {
			return answers, err
		}
		switch m.(type) {
		case *pgproto3.ParseComplete:
			answers = append(answers, "1")
		case *pgproto3.CloseComplete:
			answers = append(answers, "3")
		case *pgproto3.ErrorResponse:
			answers = append(answers, "E")
		case *pgproto3.ReadyForQuery:
			answers = append(answers, "Z")
			ready--
		}
	}
	return answers, nil
}
