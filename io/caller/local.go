package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/floor"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
)

// textOID is PostgreSQL's type OID of text, the type of the columns that the host
// itself returns.
const textOID = 25

// localAnswer is the host's own answer to the execution of a statement.
type localAnswer struct {
	answers []pgproto3.BackendMessage
	refusal *outcome.Error
}

// isLocal reports whether the host answers the statement itself. It does so for
// the settings basilmill.request_key and basilmill.token and for DEALLOCATE,
// except that DEALLOCATE of a name that the host does not know is sent to the
// server of a pinned session.
func (s *session) isLocal(stmt statement.Statement) bool {
	if stmt.Class == statement.KeyedSetting {
		return true
	}
	_, known := s.statements[stmt.Deallocated]
	return stmt.Deallocates && (!s.pinned || known)
}

// runLocal runs a statement that the host answers itself. ok is false if the
// statement needs a server.
func (s *session) runLocal(stmt statement.Statement) (answer localAnswer, ok bool) {
	if stmt.Deallocates && stmt.Deallocated == "" {
		clear(s.statements)
		s.preparedSize = 0
	}
	if !s.isLocal(stmt) {
		return answer, false
	}
	if s.status == statusFailed {
		return localAnswer{refusal: errFailedTransaction()}, true
	}
	tag := "SET"
	switch {
	case stmt.Deallocates:
		answer.refusal = s.deallocate(stmt.Deallocated)
		tag = "DEALLOCATE"
	case stmt.Setting.Show:
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(s.settingValue(stmt.Setting.Name))}}
		answer.answers = append(answer.answers, row)
		tag = "SHOW"
	case stmt.Setting.Name == statement.RequestKey:
		answer.refusal = s.setRequestKey(stmt.Setting.Value)
	default:
		answer.refusal = s.setToken(stmt.Setting.Value)
	}
	answer.answers = append(answer.answers, commandComplete(tag))
	return answer, true
}

func (s *session) deallocate(name string) *outcome.Error {
	if _, known := s.statements[name]; !known && name != "" {
		return refuse(invalidStatementName, "prepared statement "+quoteIdentifier(name)+" does not exist")
	}
	s.deletePrepared(name)
	return nil
}

func (s *session) setRequestKey(key string) *outcome.Error {
	if s.status != statusIdle {
		return refuse(activeTransaction, statement.RequestKey+" must be set before the transaction begins")
	}
	s.requestKey = key
	return nil
}

func (s *session) settingValue(name string) string {
	if name == statement.RequestKey {
		return s.requestKey
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
	parsed, err := floor.ParseToken(token)
	if err != nil || parsed.Group != s.identity.Group {
		return refuse(invalidParameterValue, "the token is not valid for this database group")
	}
	s.raiseFloor(parsed.Position)
	s.floorKnown = true
	return nil
}

// token returns the session's floor as a token, which the caller can present in
// other sessions.
func (s *session) token() string {
	return floor.Token{Group: s.identity.Group, Position: s.floor}.String()
}

func (s *session) raiseFloor(position group.Position) {
	if position.Compare(s.floor) > 0 {
		s.floor = position
	}
}

// describeLocal returns the answer to a Describe of a statement that the host
// answers itself.
func describeLocal(stmt statement.Statement, parameters bool) (answers []pgproto3.BackendMessage) {
	if parameters {
		answers = append(answers, &pgproto3.ParameterDescription{})
	}
	if stmt.Setting.Show {
		return append(answers, showDescription(stmt.Setting.Name))
	}
	return append(answers, &pgproto3.NoData{})
}

func showDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

func commandComplete(tag string) *pgproto3.CommandComplete {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

func errFailedTransaction() *outcome.Error {
	return refuse(failedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// sendLocalAnswer sends the host's own answer to a simple query.
func (s *session) sendLocalAnswer(stmt statement.Statement, answer localAnswer) error {
	if answer.refusal != nil {
		return s.answerWithError(answer.refusal)
	}
	if stmt.Setting.Show {
		s.send(showDescription(stmt.Setting.Name))
	}
	for _, m := range answer.answers {
		s.send(m)
	}
	return s.sendReady()
}

// answerWithError answers a simple query with an error.
func (s *session) answerWithError(refusal *outcome.Error) error {
	s.send(errorResponse("ERROR", refusal))
	return s.sendReady()
}

func (s *session) sendReady() error {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	s.flush()
	return nil
}

// answerWithoutServer answers a batch none of whose steps needs a server.
func (s *session) answerWithoutServer(b *batch) error {
	for _, st := range b.steps {
		for _, m := range st.localMessages {
			s.send(m)
		}
	}
	return s.finishAnswer(b, b.refusal)
}

// answerFailedTransaction answers a batch in a transaction whose connection was
// lost. It accepts only the end of the transaction and answers it with ROLLBACK.
func (s *session) answerFailedTransaction(b *batch) error {
	if !b.needsServer() && b.refusal == nil {
		return s.answerWithoutServer(b)
	}
	if !b.endsTransaction || b.executeCount != 1 || b.multiple || b.refusal != nil {
		return s.finishAnswer(b, errFailedTransaction())
	}
	for _, st := range b.steps {
		for _, m := range rollbackAnswer(st) {
			s.send(m)
		}
	}
	s.status = statusIdle
	return s.finishAnswer(b, nil)
}

// rollbackAnswer returns the answer to a step of the batch that ends a failed
// transaction.
func rollbackAnswer(st step) []pgproto3.BackendMessage {
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
		return []pgproto3.BackendMessage{commandComplete("ROLLBACK")}
	case *pgproto3.Close:
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	default:
		return st.localMessages
	}
}
