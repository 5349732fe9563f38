package backendserver

import "github.com/jackc/pgx/v5/pgproto3"

// receivedMessages refers to the messages that a frontend has returned and that may be
// large or refer to its read buffer. pgproto3 decodes the messages of a type into the
// same object, which lives as long as the connection.
type receivedMessages struct {
	dataRow         *pgproto3.DataRow
	copyData        *pgproto3.CopyData
	functionResult  *pgproto3.FunctionCallResponse
	rowDescription  *pgproto3.RowDescription
	commandComplete *pgproto3.CommandComplete
	errorResponse   *pgproto3.ErrorResponse
	notice          *pgproto3.NoticeResponse
}

// note records a message that the frontend returned.
func (r *receivedMessages) note(m pgproto3.BackendMessage) {
	switch m := m.(type) {
	case *pgproto3.DataRow:
		r.dataRow = m
	case *pgproto3.CopyData:
		r.copyData = m
	case *pgproto3.FunctionCallResponse:
		r.functionResult = m
	case *pgproto3.RowDescription:
		r.rowDescription = m
	case *pgproto3.CommandComplete:
		r.commandComplete = m
	case *pgproto3.ErrorResponse:
		r.errorResponse = m
	case *pgproto3.NoticeResponse:
		r.notice = m
	}
}

// forget removes the contents of the messages. They must not be in use.
func (r *receivedMessages) forget() {
	if m := r.dataRow; m != nil {
		clear(m.Values[:cap(m.Values)])
	}
	if m := r.copyData; m != nil {
		m.Data = nil
	}
	if m := r.functionResult; m != nil {
		m.Result = nil
	}
	if m := r.rowDescription; m != nil {
		clear(m.Fields[:cap(m.Fields)])
	}
	if m := r.commandComplete; m != nil {
		m.CommandTag = nil
	}
	if m := r.errorResponse; m != nil {
		*m = pgproto3.ErrorResponse{}
	}
	if m := r.notice; m != nil {
		*m = pgproto3.NoticeResponse{}
	}
	*r = receivedMessages{}
}
