package backendserver

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"basilmill/standin/internal/sql"
)

// result holds the rows and the command tag that a statement returns.
type result struct {
	rows []row
	tag  string
}

// execution executes one statement in a session's transaction.
type execution struct {
	session     *session
	transaction *transaction
	params      row
}

func (x *execution) run(ctx context.Context, statement sql.Statement) (result, error) {
	switch s := statement.(type) {
	case *sql.CreateTable:
		return x.createTable(ctx, s)
	case *sql.DropTable:
		return x.dropTable(ctx, s)
	case *sql.Insert:
		return x.insert(ctx, s)
	case *sql.Select:
		return x.selectStatement(ctx, s)
	case *sql.Update:
		return x.update(ctx, s)
	case *sql.Delete:
		return x.delete(ctx, s)
	}
	return result{}, sql.Errorf(sql.InternalError, "cannot execute %s", statement.Kind())
}

func (x *execution) tableID(name sql.Name) tableID { return tableID{x.session.database, name} }

// withTableLock locks a table for the transaction and calls f with a writable
// view of it.
func (x *execution) withTableLock(ctx context.Context, name sql.Name, f func(*view) error) error {
	if err := x.transaction.lock(ctx, x.tableID(name)); err != nil {
		return err
	}
	return x.withReadLock(func() error {
		if err := x.transaction.checkWriteEpoch(); err != nil {
			return err
		}
		v, err := x.transaction.table(x.tableID(name))
		if err != nil {
			return err
		}
		v.beginChanges()
		return f(v)
	})
}

// withReadLock calls f with the server's mutex held for reading, so that the
// committed tables do not change.
func (x *execution) withReadLock(f func() error) error {
	x.session.server.mu.RLock()
	defer x.session.server.mu.RUnlock()
	return f()
}

func (x *execution) createTable(ctx context.Context, s *sql.CreateTable) (result, error) {
	id := x.tableID(s.Table)
	if err := x.transaction.lock(ctx, id); err != nil {
		return result{}, err
	}
	err := x.withReadLock(func() error {
		if _, err := x.transaction.table(id); err == nil {
			if s.IfNotExists {
				return nil
			}
			return sql.Errorf(sql.DuplicateTable, "relation %q already exists", s.Table)
		}
		x.transaction.createTable(id, newSchema(s.Columns, s.Unique))
		return nil
	})
	return result{tag: "CREATE TABLE"}, err
}

func (x *execution) dropTable(ctx context.Context, s *sql.DropTable) (result, error) {
	for _, name := range s.Tables {
		if name == requestKeys {
			return result{}, sql.Errorf(sql.InsufficientPrivilege, "the platform owns %s", name)
		}
		id := x.tableID(name)
		if err := x.transaction.lock(ctx, id); err != nil {
			return result{}, err
		}
		err := x.withReadLock(func() error {
			if _, err := x.transaction.table(id); err != nil {
				if s.IfExists {
					return nil
				}
				return err
			}
			x.transaction.changesOf(id)
			x.transaction.dropTable(id)
			return nil
		})
		if err != nil {
			return result{}, err
		}
	}
	return result{tag: "DROP TABLE"}, nil
}

func (x *execution) insert(ctx context.Context, s *sql.Insert) (r result, err error) {
	err = x.withTableLock(ctx, s.Table, func(v *view) error {
		targets, err := insertTargets(&v.schema, s.Columns)
		if err != nil {
			return err
		}
		arbiters, err := conflictConstraints(v, s)
		if err != nil {
			return err
		}
		var inserted []row
		for _, values := range s.Rows {
			next, err := x.newRow(&v.schema, targets, values)
			if err != nil {
				return err
			}
			if s.ConflictDoNothing && v.violatedConstraint(0, next, arbiters) >= 0 {
				continue
			}
			if err := v.insert(next); err != nil {
				return err
			}
			inserted = append(inserted, next)
		}
		r, err = x.changeResult("INSERT 0", &v.schema, inserted, s.Returning)
		return err
	})
	return r, err
}

// conflictConstraints returns the indexes of the unique constraints to which
// ON CONFLICT applies.
func conflictConstraints(v *view, s *sql.Insert) ([]int, error) {
	if len(s.ConflictColumns) == 0 {
		return v.allConstraints(), nil
	}
	for i, columns := range v.Unique {
		matches := len(columns) == len(s.ConflictColumns)
		for _, column := range columns {
			matches = matches && slices.Contains(s.ConflictColumns, v.Columns[column].Name)
		}
		if matches {
			return []int{i}, nil
		}
	}
	return nil, sql.Errorf("42P10", "there is no unique constraint matching the ON CONFLICT specification")
}

// newRow returns the row for one list of VALUES. Columns without a value get
// their default.
func (x *execution) newRow(source *schema, targets []int, values []sql.Expression) (row, error) {
	next := make(row, len(source.Columns))
	for i, c := range source.Columns {
		next[i] = c.Default
	}
	for i, value := range values {
		if value == nil {
			continue
		}
		v, err := x.evaluateAs(source, nil, value, source.Columns[targets[i]].Type)
		if err != nil {
			return nil, err
		}
		next[targets[i]] = v
	}
	return next, nil
}

func (x *execution) update(ctx context.Context, s *sql.Update) (r result, err error) {
	err = x.withTableLock(ctx, s.Table, func(v *view) error {
		ids, rows, err := x.matchingRows(v, s.Where)
		if err != nil {
			return err
		}
		updated := make([]row, len(rows))
		for i, old := range rows {
			if updated[i], err = x.assign(&v.schema, old, s.Set); err != nil {
				return err
			}
			if err := v.put(ids[i], updated[i]); err != nil {
				return err
			}
		}
		r, err = x.changeResult("UPDATE", &v.schema, updated, s.Returning)
		return err
	})
	return r, err
}

// assign returns a copy of a row with the assignments of an UPDATE applied.
func (x *execution) assign(source *schema, old row, assignments []sql.Assignment) (row, error) {
	next := slices.Clone(old)
	for _, assignment := range assignments {
		i, err := source.column(assignment.Column)
		if err != nil {
			return nil, err
		}
		if next[i], err = x.evaluateAs(source, old, assignment.Value, source.Columns[i].Type); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (x *execution) delete(ctx context.Context, s *sql.Delete) (r result, err error) {
	err = x.withTableLock(ctx, s.Table, func(v *view) error {
		ids, rows, err := x.matchingRows(v, s.Where)
		if err != nil {
			return err
		}
		for _, id := range ids {
			v.remove(id)
		}
		r, err = x.changeResult("DELETE", &v.schema, rows, s.Returning)
		return err
	})
	return r, err
}

// changeResult returns the result of an INSERT, UPDATE or DELETE that changed
// rows.
func (x *execution) changeResult(tag string, source *schema, rows []row, returning []sql.Output) (result, error) {
	r := result{tag: fmt.Sprintf("%s %d", tag, len(rows))}
	if len(returning) == 0 {
		return r, nil
	}
	projected, err := x.project(source, rows, returning)
	r.rows = projected
	return r, err
}

func (x *execution) selectStatement(ctx context.Context, s *sql.Select) (r result, err error) {
	var rows []row
	switch {
	case s.Table != nil:
		err = x.withReadLock(func() error {
			rows, err = x.selectTable(s)
			return err
		})
	case s.Call != nil:
		rows, err = x.selectCall(ctx, s)
	default:
		rows, err = x.selectValues(ctx, s)
	}
	return result{rows: rows, tag: fmt.Sprintf("SELECT %d", len(rows))}, err
}

func (x *execution) selectTable(s *sql.Select) ([]row, error) {
	v, err := x.transaction.table(x.tableID(*s.Table))
	if err != nil {
		return nil, err
	}
	_, rows, err := x.matchingRows(v, s.Where)
	if err != nil {
		return nil, err
	}
	if len(s.Outputs) == 1 {
		if call, ok := s.Outputs[0].Expression.(*sql.Call); ok && call.Function == countRows {
			return []row{{sql.IntValue(len(rows))}}, nil
		}
	}
	return x.finishSelect(&v.schema, rows, s)
}

// finishSelect applies ORDER BY, OFFSET, LIMIT and the output list of a SELECT
// to its rows.
func (x *execution) finishSelect(source *schema, rows []row, s *sql.Select) ([]row, error) {
	if err := x.sortRows(source, rows, s.OrderBy); err != nil {
		return nil, err
	}
	offset, err := x.evaluateCount(s.Offset, 0)
	if err != nil {
		return nil, err
	}
	limit, err := x.evaluateCount(s.Limit, len(rows))
	if err != nil {
		return nil, err
	}
	rows = rows[min(offset, len(rows)):]
	return x.project(source, rows[:min(limit, len(rows))], s.Outputs)
}

func (x *execution) sortRows(source *schema, rows []row, orderBy []sql.Order) error {
	columns := make([]int, len(orderBy))
	for i, order := range orderBy {
		column, err := source.column(order.Column)
		if err != nil {
			return err
		}
		columns[i] = column
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		for i, column := range columns {
			c := compareNullsLast(a[column], b[column])
			if orderBy[i].Descending {
				c = -c
			}
			if c != 0 {
				return c
			}
		}
		return 0
	})
	return nil
}

func compareNullsLast(a, b sql.Value) int {
	switch {
	case a.Valid && b.Valid:
		return compare(a, b)
	case a.Valid:
		return -1
	case b.Valid:
		return 1
	}
	return 0
}

// evaluateCount evaluates the expression of LIMIT or OFFSET. It returns
// defaultCount if there is none or it is NULL.
func (x *execution) evaluateCount(e sql.Expression, defaultCount int) (int, error) {
	if e == nil {
		return defaultCount, nil
	}
	v, err := x.evaluateAs(&schema{}, nil, e, sql.Int8)
	if err != nil || !v.Valid {
		return defaultCount, err
	}
	if v.Int < 0 {
		return 0, sql.Errorf("2201W", "LIMIT and OFFSET must not be negative")
	}
	return int(v.Int), nil
}

func (x *execution) selectCall(ctx context.Context, s *sql.Select) ([]row, error) {
	f, r, err := x.callFunction(ctx, s.Call)
	if err != nil {
		return nil, err
	}
	source := &schema{Columns: f.columns}
	if source.Columns == nil {
		source.Columns = []sql.Column{{Name: s.Call.Function.Name, Type: f.result}}
	}
	matches, err := x.matchesAll(source, r, s.Where)
	if err != nil || !matches {
		return nil, err
	}
	return x.finishSelect(source, []row{r}, s)
}

// selectValues executes a SELECT without FROM. Only this form may call
// functions in its output list.
func (x *execution) selectValues(ctx context.Context, s *sql.Select) ([]row, error) {
	var values row
	for _, output := range s.Outputs {
		call, isCall := output.Expression.(*sql.Call)
		if !isCall {
			v, err := x.evaluateAs(&schema{}, nil, output.Expression, sql.Unknown)
			if err != nil {
				return nil, err
			}
			values = append(values, v)
			continue
		}
		_, r, err := x.callFunction(ctx, call)
		if err != nil {
			return nil, err
		}
		values = append(values, r...)
	}
	return []row{values}, nil
}

func (x *execution) callFunction(ctx context.Context, c *sql.Call) (function, row, error) {
	f, ok := functions[c.Function]
	if !ok || f.call == nil {
		return function{}, nil, sql.Errorf(sql.FeatureNotSupported, "%s is not supported here", c.Function)
	}
	args := make(row, len(c.Args))
	for i, arg := range c.Args {
		v, err := x.evaluateAs(&schema{}, nil, arg, f.args[i])
		if err != nil {
			return function{}, nil, err
		}
		args[i] = v
	}
	r, err := f.call(ctx, x.session, args)
	return f, r, err
}

// matchingRows returns the rows that satisfy all conditions. It looks them up
// in a unique index if the conditions give all columns of the index, and scans
// the table otherwise.
func (x *execution) matchingRows(v *view, where []sql.Condition) (ids []rowID, rows []row, err error) {
	addMatch := func(id rowID, r row) bool {
		var ok bool
		if ok, err = x.matchesAll(&v.schema, r, where); ok {
			ids, rows = append(ids, id), append(rows, r)
		}
		return err == nil
	}
	key, constraint := x.lookupKey(v, where)
	if constraint < 0 {
		v.forEachRow(addMatch)
		return ids, rows, err
	}
	if id := v.findByKey(constraint, key); id != 0 {
		addMatch(id, v.row(id))
	}
	return ids, rows, err
}

// lookupKey returns the first unique constraint whose columns all have values
// given by the conditions, and the key of these values. The constraint is -1 if
// there is none.
func (x *execution) lookupKey(v *view, where []sql.Condition) (key string, constraint int) {
	determined := make(row, len(v.Columns))
	for _, condition := range where {
		i := v.index(condition.Column)
		if condition.Operator != sql.Equal || i < 0 {
			continue
		}
		if _, isColumn := condition.Value.(*sql.ColumnRef); isColumn {
			continue
		}
		value, err := x.evaluateAs(&schema{}, nil, condition.Value, v.Columns[i].Type)
		if err == nil {
			determined[i] = value
		}
	}
	for constraint := range v.Unique {
		if key, ok := v.uniqueKey(constraint, determined); ok {
			return key, constraint
		}
	}
	return "", -1
}

func (x *execution) matchesAll(source *schema, r row, where []sql.Condition) (bool, error) {
	for _, condition := range where {
		ok, err := x.matchesCondition(source, r, condition)
		if err != nil || !ok {
			return false, err
		}
	}
	return true, nil
}

func (x *execution) matchesCondition(source *schema, r row, condition sql.Condition) (bool, error) {
	i, err := source.column(condition.Column)
	if err != nil {
		return false, err
	}
	switch condition.Operator {
	case sql.IsNull:
		return !r[i].Valid, nil
	case sql.IsNotNull:
		return r[i].Valid, nil
	}
	expected := source.Columns[i].Type
	if expected == sql.Int4 {
		// A comparison with a value outside the column's range is allowed.
		expected = sql.Int8
	}
	v, err := x.evaluateAs(source, r, condition.Value, expected)
	if err != nil || !v.Valid || !r[i].Valid {
		return false, err
	}
	return satisfies(condition.Operator, compare(r[i], v)), nil
}

// satisfies reports whether the result c of a comparison satisfies an operator.
func satisfies(operator sql.Operator, c int) bool {
	switch operator {
	case sql.Equal:
		return c == 0
	case sql.NotEqual:
		return c != 0
	case sql.Less:
		return c < 0
	case sql.LessOrEqual:
		return c <= 0
	case sql.Greater:
		return c > 0
	case sql.GreaterOrEqual:
		return c >= 0
	}
	return false
}

// compare compares two values of comparable types, neither of which is NULL.
func compare(a, b sql.Value) int {
	return cmp.Or(cmp.Compare(a.Int, b.Int), cmp.Compare(a.Float, b.Float), strings.Compare(a.Text, b.Text))
}

// project evaluates an output list on each row.
func (x *execution) project(source *schema, rows []row, outputs []sql.Output) ([]row, error) {
	projected := make([]row, len(rows))
	for i, r := range rows {
		for _, output := range outputs {
			if output.Expression == nil {
				projected[i] = append(projected[i], r...)
				continue
			}
			v, err := x.evaluateAs(source, r, output.Expression, sql.Unknown)
			if err != nil {
				return nil, err
			}
			projected[i] = append(projected[i], v)
		}
	}
	return projected, nil
}

// evaluateAs evaluates an expression on a row and converts the result to a
// type.
func (x *execution) evaluateAs(source *schema, r row, expression sql.Expression, t sql.Type) (sql.Value, error) {
	v, err := x.evaluate(source, r, expression)
	if err != nil {
		return sql.Value{}, err
	}
	return v.Convert(t)
}

func (x *execution) evaluate(source *schema, r row, expression sql.Expression) (sql.Value, error) {
	switch e := expression.(type) {
	case *sql.Literal:
		return e.Value, nil
	case *sql.Param:
		if e.Index >= len(x.params) {
			return sql.Value{}, sql.Errorf(sql.UndefinedParameter, "there is no parameter $%d", e.Index+1)
		}
		return x.params[e.Index], nil
	case *sql.ColumnRef:
		i, err := source.column(e.Name)
		if err != nil {
			return sql.Value{}, err
		}
		return r[i], nil
	case *sql.Cast:
		v, err := x.evaluate(source, r, e.Operand)
		if err != nil {
			return sql.Value{}, err
		}
		return v.Cast(e.Type)
	case *sql.Sum:
		return x.sum(source, r, e)
	}
	return sql.Value{}, sql.Errorf(sql.FeatureNotSupported, "this expression is not supported here")
}

func (x *execution) sum(source *schema, r row, e *sql.Sum) (sql.Value, error) {
	left, err := x.evaluateAs(source, r, e.Left, sql.Int8)
	if err != nil {
		return sql.Value{}, err
	}
	right, err := x.evaluateAs(source, r, e.Right, sql.Int8)
	if err != nil || !left.Valid || !right.Valid {
		return sql.Value{}, err
	}
	n := left.Int + right.Int
	if e.Subtract {
		n = left.Int - right.Int
	}
	return sql.IntValue(n), nil
}
