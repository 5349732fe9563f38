package backendserver

import (
	"basilmill/standin/internal/sql"
)

// plan describes a statement by the types of its parameters and the columns of
// its result. Columns are nil if the statement returns no rows.
type plan struct {
	params  []sql.Type
	columns []sql.Column
}

// planner determines the plan of a statement. It returns errors for unknown
// tables, columns and functions.
type planner struct {
	plan
	transaction *transaction
	database    string
}

// newPlan returns the plan of a statement. Parameters without a declared type
// get their type from the context. The caller must hold the server's mutex.
func newPlan(statement sql.Statement, t *transaction, database string, declared []sql.Type) (plan, error) {
	p := planner{plan: plan{params: declared}, transaction: t, database: database}
	if err := p.statement(statement); err != nil {
		return plan{}, err
	}
	for i, t := range p.params {
		if t == sql.Unknown {
			p.params[i] = sql.Text
		}
	}
	return p.plan, nil
}

func (p *planner) statement(statement sql.Statement) error {
	switch s := statement.(type) {
	case *sql.Insert:
		return p.insert(s)
	case *sql.Select:
		return p.selectStatement(s)
	case *sql.Update:
		return p.update(s)
	case *sql.Delete:
		source, err := p.table(s.Table)
		if err != nil {
			return err
		}
		return p.whereAndReturning(source, s.Where, s.Returning)
	case *sql.Show:
		p.columns = []sql.Column{{Name: s.Name, Type: sql.Text}}
	}
	return nil
}

func (p *planner) table(name sql.Name) (*schema, error) {
	v, err := p.transaction.table(tableID{p.database, name})
	if err != nil {
		return nil, err
	}
	return &v.schema, nil
}

func (p *planner) insert(s *sql.Insert) error {
	source, err := p.table(s.Table)
	if err != nil {
		return err
	}
	targets, err := insertTargets(source, s.Columns)
	if err != nil {
		return err
	}
	for _, values := range s.Rows {
		if len(values) > len(targets) || len(s.Columns) > len(values) {
			return sql.Errorf(sql.SyntaxError, "INSERT has %d target columns and %d expressions", len(targets), len(values))
		}
		for i, value := range values {
			if _, err := p.expression(&schema{}, value, source.Columns[targets[i]].Type); err != nil {
				return err
			}
		}
	}
	return p.returning(source, s.Returning)
}

// insertTargets returns the indexes of the target columns of INSERT.
func insertTargets(source *schema, columns []string) (targets []int, err error) {
	if len(columns) == 0 {
		for i := range source.Columns {
			targets = append(targets, i)
		}
		return targets, nil
	}
	for _, name := range columns {
		i, err := source.column(name)
		if err != nil {
			return nil, err
		}
		targets = append(targets, i)
	}
	return targets, nil
}

func (p *planner) selectStatement(s *sql.Select) error {
	source, err := p.source(s)
	if err != nil {
		return err
	}
	if err := p.where(source, s.Where); err != nil {
		return err
	}
	for _, order := range s.OrderBy {
		if _, err := source.column(order.Column); err != nil {
			return err
		}
	}
	for _, count := range []sql.Expression{s.Limit, s.Offset} {
		if _, err := p.expression(&schema{}, count, sql.Int8); err != nil {
			return err
		}
	}
	return p.outputs(source, s.Outputs)
}

// source returns the columns to which the outputs of a SELECT may refer.
func (p *planner) source(s *sql.Select) (*schema, error) {
	switch {
	case s.Table != nil:
		return p.table(*s.Table)
	case s.Call != nil:
		f, err := p.call(s.Call)
		if err != nil {
			return nil, err
		}
		return &schema{Columns: f.columns}, nil
	default:
		return &schema{}, nil
	}
}

func (p *planner) update(s *sql.Update) error {
	source, err := p.table(s.Table)
	if err != nil {
		return err
	}
	for _, assignment := range s.Set {
		i, err := source.column(assignment.Column)
		if err != nil {
			return err
		}
		if _, err := p.expression(source, assignment.Value, source.Columns[i].Type); err != nil {
			return err
		}
	}
	return p.whereAndReturning(source, s.Where, s.Returning)
}

func (p *planner) whereAndReturning(source *schema, where []sql.Condition, returning []sql.Output) error {
	if err := p.where(source, where); err != nil {
		return err
	}
	return p.returning(source, returning)
}

func (p *planner) where(source *schema, where []sql.Condition) error {
	for _, condition := range where {
		i, err := source.column(condition.Column)
		if err != nil {
			return err
		}
		if _, err := p.expression(source, condition.Value, source.Columns[i].Type); err != nil {
			return err
		}
	}
	return nil
}

func (p *planner) returning(source *schema, outputs []sql.Output) error {
	if len(outputs) == 0 {
		return nil
	}
	return p.outputs(source, outputs)
}

func (p *planner) outputs(source *schema, outputs []sql.Output) error {
	p.columns = []sql.Column{}
	for _, output := range outputs {
		if output.Expression == nil {
			if len(source.Columns) == 0 {
				return sql.Errorf(sql.SyntaxError, "SELECT * needs a FROM clause")
			}
			p.columns = append(p.columns, source.Columns...)
			continue
		}
		t, err := p.expression(source, output.Expression, sql.Unknown)
		if err != nil {
			return err
		}
		if t == sql.Unknown {
			t = sql.Text
		}
		p.columns = append(p.columns, sql.Column{Name: output.Name, Type: t})
	}
	return nil
}

// expression returns the type of an expression. Parameters whose type is not
// known yet get the expected type.
func (p *planner) expression(source *schema, expression sql.Expression, expected sql.Type) (sql.Type, error) {
	switch e := expression.(type) {
	case *sql.Literal:
		return e.Value.Type, nil
	case *sql.Param:
		return p.param(e.Index, expected), nil
	case *sql.ColumnRef:
		i, err := source.column(e.Name)
		if err != nil {
			return sql.Unknown, err
		}
		return source.Columns[i].Type, nil
	case *sql.Cast:
		_, err := p.expression(source, e.Operand, e.Type)
		return e.Type, err
	case *sql.Sum:
		return p.sum(source, e, expected)
	case *sql.Call:
		f, err := p.call(e)
		if err != nil {
			return sql.Unknown, err
		}
		if f.columns != nil {
			return sql.Unknown, sql.Errorf(sql.FeatureNotSupported, "use SELECT * FROM %s()", e.Function)
		}
		return f.result, nil
	}
	return sql.Unknown, nil
}

func (p *planner) sum(source *schema, e *sql.Sum, expected sql.Type) (sql.Type, error) {
	result := sql.Int4
	for _, operand := range []sql.Expression{e.Left, e.Right} {
		t, err := p.expression(source, operand, expected)
		if err != nil {
			return sql.Unknown, err
		}
		switch {
		case t == sql.Int8:
			result = sql.Int8
		case !t.IsInteger() && t != sql.Unknown:
			return sql.Unknown, sql.Errorf(sql.FeatureNotSupported, "only integers can be added")
		}
	}
	return result, nil
}

func (p *planner) param(index int, expected sql.Type) sql.Type {
	for len(p.params) <= index {
		p.params = append(p.params, sql.Unknown)
	}
	if p.params[index] == sql.Unknown {
		p.params[index] = expected
	}
	return p.params[index]
}

// call returns the called function and determines the types of the parameters
// in its arguments.
func (p *planner) call(c *sql.Call) (function, error) {
	f, ok := functions[c.Function]
	if !ok || len(f.args) != len(c.Args) {
		return function{}, sql.Errorf(sql.UndefinedFunction,
			"function %s with %d arguments does not exist", c.Function, len(c.Args))
	}
	for i, arg := range c.Args {
		if _, err := p.expression(&schema{}, arg, f.args[i]); err != nil {
			return function{}, err
		}
	}
	return f, nil
}
