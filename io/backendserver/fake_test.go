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

// fakeServer answers over net.Pipe and records the messages that it receives.
type fakeServer struct {
	mu  sync.Mutex
	log []string
	// answer handles a message. It returns false to close the connection.
	answer func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool
	// startupError, if set, rejects every connection.
	startupError *pgproto3.ErrorResponse
}

func (f *fakeServer) dialer() backendserver.Dialer {
	return backendserver.Dialer{User: "basilmill", DialFunc: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go f.serve(server)
		return client, nil
	}}
}

func (f *fakeServer) record(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, entry)
}

// takeLog returns the log since the last call.
func (f *fakeServer) takeLog() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := strings.Join(f.log, " ")
	f.log = nil
	return all
}

func (f *fakeServer) serve(conn net.Conn) {
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
	if f.startupError != nil {
		b.Send(f.startupError)
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

// answerNormally answers like a server without data.
func answerNormally(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
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

// exchange sends a batch and returns the types of the answers up to the given
// number of ReadyForQuery messages.
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
