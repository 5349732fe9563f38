package backendserver

import (
	"context"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/standin/internal/sql"
)

// preparedStatement is a prepared statement of a session. Its statement is nil
// for an empty query.
type preparedStatement struct {
	statement    sql.Statement
	declaredOIDs []uint32
	plan         plan
}

// portal is a prepared statement with bound parameters.
type portal struct {
	*preparedStatement
	params  row
	formats []int16
	// result is set by the first Execute message. Its rows are those that have
	// not been sent yet.
	result *result
}

func (x *session) parse(m *pgproto3.Parse) error {
	statements, err := sql.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return sql.Errorf(sql.SyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	if m.Name != "" && x.statements[m.Name] != nil {
		return sql.Errorf(sql.DuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	x.ensureTransaction()
	p := &preparedStatement{declaredOIDs: slices.Clone(m.ParameterOIDs)}
	if len(statements) == 1 {
		p.statement = statements[0]
		if p.plan, err = x.planStatement(p.statement, p.declaredOIDs); err != nil {
			return err
		}
	}
	x.statements[m.Name] = p
	x.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (x *session) lookupStatement(name string) (*preparedStatement, error) {
	if p := x.statements[name]; p != nil {
		return p, nil
	}
	return nil, sql.Errorf(sql.InvalidStatementName, "prepared statement %q does not exist", name)
}

func (x *session) lookupPortal(name string) (*portal, error) {
	if p := x.portals[name]; p != nil {
		return p, nil
	}
	return nil, sql.Errorf(sql.InvalidCursorName, "portal %q does not exist", name)
}

func (x *session) bind(m *pgproto3.Bind) error {
	p, err := x.lookupStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	x.ensureTransaction()
	if err := x.checkPlan(p); err != nil {
		return err
	}
	if len(m.Parameters) != len(p.plan.params) {
		return sql.Errorf(sql.ProtocolViolation, "bind message supplies %d parameters, but %d are required",
			len(m.Parameters), len(p.plan.params))
	}
	bound := &portal{preparedStatement: p, formats: slices.Clone(m.ResultFormatCodes)}
	for i, data := range m.Parameters {
		v, err := decode(data, p.plan.params[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.params = append(bound.params, v)
	}
	x.portals[m.DestinationPortal] = bound
	x.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// checkPlan returns an error if the plan of a prepared statement has changed
// because its table was changed.
func (x *session) checkPlan(p *preparedStatement) error {
	if p.statement == nil {
		return nil
	}
	current, err := x.planStatement(p.statement, p.declaredOIDs)
	if err != nil {
		return err
	}
	if !slices.Equal(current.columns, p.plan.columns) || !slices.Equal(current.params, p.plan.params) {
		return sql.Errorf(sql.FeatureNotSupported, "cached plan must not change result type")
	}
	return nil
}

func (x *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, err := x.lookupStatement(m.Name)
		if err != nil {
			return err
		}
		oids := make([]uint32, len(p.plan.params))
		for i, t := range p.plan.params {
			oids[i], _ = describeType(t)
			if i < len(p.declaredOIDs) && p.declaredOIDs[i] != 0 {
				oids[i] = p.declaredOIDs[i]
			}
		}
		x.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		x.describeRows(p.plan, nil)
		return nil
	}
	p, err := x.lookupPortal(m.Name)
	if err != nil {
		return err
	}
	x.describeRows(p.plan, p.formats)
	return nil
}

func (x *session) describeRows(p plan, formats []int16) {
	if p.columns == nil {
		x.backend.Send(&pgproto3.NoData{})
		return
	}
	x.backend.Send(rowDescription(p.columns, formats))
}

func (x *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, err := x.lookupPortal(m.Portal)
	if err != nil {
		return err
	}
	if p.statement == nil {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		x.ensureTransaction()
		r, err := x.runStatement(ctx, p.statement, p.params)
		if err != nil {
			return err
		}
		p.result = &r
	}
	x.sendResult(p, int(m.MaxRows))
	return nil
}

// sendResult sends up to limit further rows of a portal, or all if limit is 0.
func (x *session) sendResult(p *portal, limit int) {
	r := p.result
	if limit > 0 && limit < len(r.rows) {
		x.sendRows(r.rows[:limit], p.plan.columns, p.formats)
		r.rows = r.rows[limit:]
		x.backend.Send(&pgproto3.PortalSuspended{})
		return
	}
	x.sendRows(r.rows, p.plan.columns, p.formats)
	r.rows = nil
	x.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	if _, isSelect := p.statement.(*sql.Select); isSelect {
		r.tag = fmt.Sprintf("SELECT %d", 0)
	}
}

func (x *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(x.statements, m.Name)
	} else {
		delete(x.portals, m.Name)
	}
	x.backend.Send(&pgproto3.CloseComplete{})
}

func rowDescription(columns []sql.Column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		oid, size := describeType(c.Type)
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: oid, DataTypeSize: size, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return description
}

func (x *session) sendRows(rows []row, columns []sql.Column, formats []int16) {
	for _, r := range rows {
		data := &pgproto3.DataRow{Values: make([][]byte, len(r))}
		for i, v := range r {
			data.Values[i] = encode(v, columns[i].Type, formatAt(formats, i))
		}
		x.backend.Send(data)
	}
}
