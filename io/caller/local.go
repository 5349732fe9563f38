package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/floor"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
)

// textOID is the type of the columns that the host itself returns.
const textOID = 25

// localAnswer answers an Execute without a server.
type localAnswer struct {
	answers []pgproto3.BackendMessage
	refused *outcome.Error
}

// isLocal reports whether the host answers the statement itself: its own
// settings, and DEALLOCATE of what it knows as a prepared statement.
func (s *session) isLocal(f statement.Statement) bool {
	if f.Class == statement.KeyedSetting {
		return true
	}
	_, known := s.statements[f.Deallocated]
	return f.Deallocates && (!s.pinned || known)
}

// local runs a statement that needs no server.
func (s *session) local(f statement.Statement) (answer localAnswer, ok bool) {
	if f.Deallocates && f.Deallocated == "" {
		clear(s.statements)
		s.preparedSize = 0
	}
	if !s.isLocal(f) {
		return answer, false
	}
	if s.status == failed {
		return localAnswer{refused: errFailedTransaction()}, true
	}
	tag := "SET"
	switch {
	case f.Deallocates:
		answer.refused = s.deallocate(f.Deallocated)
		tag = "DEALLOCATE"
	case f.Setting.Show:
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(s.setting(f.Setting.Name))}}
		answer.answers = append(answer.answers, row)
		tag = "SHOW"
	case f.Setting.Name == statement.RequestKey:
		answer.refused = s.setKey(f.Setting.Value)
	default:
		answer.refused = s.setToken(f.Setting.Value)
	}
	answer.answers = append(answer.answers, complete(tag))
	return answer, true
}

func (s *session) deallocate(name string) *outcome.Error {
	if _, known := s.statements[name]; !known && name != "" {
		return refuse(invalidStatementName, "prepared statement "+quoteName(name)+" does not exist")
	}
	s.forget(name)
	return nil
}

func (s *session) setKey(key string) *outcome.Error {
	if s.status != idle {
		return refuse(activeTransaction, statement.RequestKey+" must be set before the transaction begins")
	}
	s.key = key
	return nil
}

func (s *session) setting(name string) string {
	if name == statement.RequestKey {
		return s.key
	}
	if s.floor.IsZero() {
		return ""
	}
	return s.token()
}

func (s *session) setToken(token string) *outcome.Error {
	if token == "" {
		s.floorKnown = false
		return nil
	}
	t, err := floor.ParseToken(token)
	if err != nil || t.Group != s.identity.Group {
		return refuse(invalidParameterValue, "the token is not valid for this database group")
	}
	s.raise(t.Position)
	s.floorKnown = true
	return nil
}

// token returns the session's floor as a token.
func (s *session) token() string {
	return floor.Token{Group: s.identity.Group, Position: s.floor}.String()
}

func (s *session) raise(position group.Position) {
	if position.Compare(s.floor) > 0 {
		s.floor = position
	}
}

// describeLocal returns the answer to a Describe of a local statement.
func describeLocal(f statement.Statement, parameters bool) (answers []pgproto3.BackendMessage) {
	if parameters {
		answers = append(answers, &pgproto3.ParameterDescription{})
	}
	if f.Setting.Show {
		return append(answers, showDescription(f.Setting.Name))
	}
	return append(answers, &pgproto3.NoData{})
}

func showDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

func complete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

func errFailedTransaction() *outcome.Error {
	return refuse(failedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// finishLocal answers a simple query that needs no server.
func (s *session) finishLocal(f statement.Statement, local localAnswer) error {
	if local.refused != nil {
		return s.answerLocally(local.refused)
	}
	if f.Setting.Show {
		s.send(showDescription(f.Setting.Name))
	}
	for _, m := range local.answers {
		s.send(m)
	}
	return s.ready()
}

// answerLocally answers a simple query with an error.
func (s *session) answerLocally(refusal *outcome.Error) error {
	s.send(response("ERROR", refusal))
	return s.ready()
}

func (s *session) ready() error {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.flush()
	return nil
}

// answerAlone answers a batch for which no server is needed.
func (s *session) answerAlone(b *batch) error {
	for _, st := range b.steps {
		for _, m := range st.local {
			s.send(m)
		}
	}
	return s.conclude(b, b.refused)
}

// answerLost answers a batch in a transaction whose connection was lost: only
// its end is accepted, and it ends as a rollback.
func (s *session) answerLost(b *batch) error {
	if !b.needsServer() && b.refused == nil {
		return s.answerAlone(b)
	}
	if !b.ends || b.executed != 1 || b.multiple || b.refused != nil {
		return s.conclude(b, errFailedTransaction())
	}
	for _, st := range b.steps {
		for _, m := range lostAnswer(st) {
			s.send(m)
		}
	}
	s.status = idle
	return s.conclude(b, nil)
}

func lostAnswer(st step) []pgproto3.BackendMessage {
	if st.capture != nil {
		return nil
	}
	switch m := st.message.(type) {
	case *pgproto3.Parse:
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case *pgproto3.Bind:
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
		}
		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	case *pgproto3.Execute, *pgproto3.Query:
		return []pgproto3.BackendMessage{complete("ROLLBACK")}
	case *pgproto3.Close:
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	default:
		return st.local
	}
}
