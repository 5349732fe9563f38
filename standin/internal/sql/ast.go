// Package sql owns the subset of SQL that the stand-in backend server
// accepts: its scanner, parser, syntax tree and values.
package sql

// Statement is one parsed statement.
type Statement interface {
	// Kind returns the name under which the statement is counted.
	Kind() string
}

// Name is the qualified name of a table or function. Schema is "public" if the
// name was given without a schema.
type Name struct {
	Schema, Name string
}

// String returns the name, qualified unless the schema is "public".
func (n Name) String() string {
	if n.Schema == "public" {
		return n.Name
	}
	return n.Schema + "." + n.Name
}

// Statements.
type (
	// CreateTable is CREATE TABLE.
	CreateTable struct {
		Table       Name
		IfNotExists bool
		Columns     []Column
		// Unique lists the columns of each primary key and unique constraint.
		Unique [][]string
	}
	// DropTable is DROP TABLE.
	DropTable struct {
		Tables   []Name
		IfExists bool
	}
	// Insert is INSERT with VALUES.
	Insert struct {
		Table Name
		// Columns are the target columns, or empty for all in order.
		Columns []string
		// Rows are the values; a nil expression is DEFAULT.
		Rows [][]Expression
		// ConflictDoNothing and ConflictColumns are ON CONFLICT (columns) DO
		// NOTHING; without columns it applies to every constraint.
		ConflictDoNothing bool
		ConflictColumns   []string
		Returning         []Output
	}
	// Select is SELECT from one table, a set-returning function or nothing.
	Select struct {
		Outputs []Output
		Table   *Name
		Call    *Call
		Where   []Condition
		OrderBy []Order
		Limit   Expression
		Offset  Expression
	}
	// Update is UPDATE.
	Update struct {
		Table     Name
		Set       []Assignment
		Where     []Condition
		Returning []Output
	}
	// Delete is DELETE.
	Delete struct {
		Table     Name
		Where     []Condition
		Returning []Output
	}
	// Begin is BEGIN or START TRANSACTION.
	Begin struct {
		ReadOnly bool
	}
	// Commit is COMMIT or END.
	Commit struct{}
	// Rollback is ROLLBACK or ABORT.
	Rollback struct{}
	// Set is SET or RESET. A nil value restores the default; an empty name
	// means all settings.
	Set struct {
		Name  string
		Value *string
		// Reset is true for RESET, which has a command tag of its own.
		Reset bool
	}
	// SetTransaction is SET TRANSACTION, with the access mode if one is given.
	SetTransaction struct {
		ReadOnly *bool
	}
	// Show is SHOW.
	Show struct {
		Name string
	}
	// Discard is DISCARD ALL.
	Discard struct{}
	// Deallocate is DEALLOCATE; an empty name means ALL.
	Deallocate struct {
		Name string
	}
)

// Kind implements Statement.
func (*CreateTable) Kind() string { return "create table" }

// Kind implements Statement.
func (*DropTable) Kind() string { return "drop table" }

// Kind implements Statement.
func (*Insert) Kind() string { return "insert" }

// Kind implements Statement.
func (s *Select) Kind() string {
	if call := s.MainCall(); call != nil {
		return call.Function.String()
	}
	return "select"
}

// MainCall returns the function call in FROM or the one that is the statement's
// only output, or nil.
func (s *Select) MainCall() *Call {
	if s.Call != nil {
		return s.Call
	}
	if s.Table == nil && len(s.Outputs) == 1 {
		call, _ := s.Outputs[0].Expression.(*Call)
		return call
	}
	return nil
}

// Kind implements Statement.
func (*Update) Kind() string { return "update" }

// Kind implements Statement.
func (*Delete) Kind() string { return "delete" }

// Kind implements Statement.
func (*Begin) Kind() string { return "begin" }

// Kind implements Statement.
func (*Commit) Kind() string { return "commit" }

// Kind implements Statement.
func (*Rollback) Kind() string { return "rollback" }

// Kind implements Statement.
func (*Set) Kind() string { return "set" }

// Kind implements Statement.
func (*SetTransaction) Kind() string { return "set" }

// Kind implements Statement.
func (*Show) Kind() string { return "show" }

// Kind implements Statement.
func (*Discard) Kind() string { return "discard" }

// Kind implements Statement.
func (*Deallocate) Kind() string { return "deallocate" }

// Column is a column of a table or of a function's result. Its fields are exported
// for encoding/gob.
type Column struct {
	Name    string
	Type    Type
	NotNull bool
	Default Value
}

// Output is one output column of a statement. A nil expression is "*".
type Output struct {
	Expression Expression
	Name       string
}

// Operator is a comparison operator of a Condition.
type Operator int

// Operators.
const (
	Equal Operator = iota
	NotEqual
	Less
	LessOrEqual
	Greater
	GreaterOrEqual
	IsNull
	IsNotNull
)

// Condition is one comparison of a column with a value in a WHERE clause, whose
// conditions are joined by AND.
type Condition struct {
	Column   string
	Operator Operator
	Value    Expression
}

// Order is one column of ORDER BY.
type Order struct {
	Column     string
	Descending bool
}

// Assignment is one assignment of UPDATE.
type Assignment struct {
	Column string
	Value  Expression
}

// Expression is a scalar expression, one of the types below.
type Expression interface{ expression() }

// Expressions.
type (
	// Literal is a constant.
	Literal struct{ Value Value }
	// Param is a parameter; $1 has index 0.
	Param struct{ Index int }
	// ColumnRef refers to a column.
	ColumnRef struct{ Name string }
	// Call calls a function.
	Call struct {
		Function Name
		Args     []Expression
	}
	// Cast is value::type.
	Cast struct {
		Operand Expression
		Type    Type
	}
	// Sum adds two integers, or subtracts the right one from the left one.
	Sum struct {
		Left, Right Expression
		Subtract    bool
	}
)

func (*Literal) expression()   {}
func (*Param) expression()     {}
func (*ColumnRef) expression() {}
func (*Call) expression()      {}
func (*Cast) expression()      {}
func (*Sum) expression()       {}
