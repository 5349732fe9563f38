package sql

import (
	"math"
	"slices"
	"strconv"
)

// unsupportedStatements are first keywords of SQL statements outside the
// supported subset.
var unsupportedStatements = []string{
	"alter", "analyze", //nolint:misspell // a keyword of SQL
	"call", "checkpoint", "close", "cluster", "comment", "copy", "create", "declare",
	"do", "drop", "execute", "explain", "fetch", "grant", "import", "listen", "load", "lock", "merge", "move",
	"notify", "prepare", "reassign", "refresh", "reindex", "release", "revoke", "savepoint", "security", "table",
	"truncate", "unlisten", "vacuum", "values", "with",
}

// unsupportedClauses are keywords of clauses and expressions outside the
// supported subset.
var unsupportedClauses = []string{
	"all", "any", "as", "between", "case", "cascade", "check", "collate", "cross", "do", "distinct", "except", "exists",
	"fetch", "for", "foreign", "from", "full", "generated", "group", "having", "ilike", "in", "inner", "intersect",
	"join", "left", "like", "natural", "not", "nulls", "or", "outer", "over", "references", "restrict", "right",
	"select", "similar", "some", "union", "using", "window", "with",
}

// reservedWords end an output list and cannot be aliases.
var reservedWords = []string{
	"and", "from", "into", "limit", "offset", "on", "order", "returning", "set", "values", "where",
	"group", "having", "union", "except", "intersect", "for", "join", "fetch", "window", "or", "in", "like", "between",
}

// Parse parses the statements of a query, which are separated by semicolons. It
// returns none for an empty query.
func Parse(query string) ([]Statement, error) {
	tokens, err := scan(query)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	var statements []Statement
	for {
		for p.accept(";") {
		}
		if p.peek().kind == endToken {
			return statements, nil
		}
		statement, err := p.parseStatement()
		if err != nil {
			return nil, err
		}
		if p.peek().kind != endToken && !p.nextIs(";") {
			return nil, p.unexpected()
		}
		statements = append(statements, statement)
	}
}

// parser is a recursive-descent parser. On the first error it keeps the error and
// drops the remaining tokens, so that productions need not check for errors after
// each step.
type parser struct {
	tokens []token
	err    error
}

func (p *parser) parseStatement() (Statement, error) {
	statement := p.statement()
	if p.err != nil {
		return nil, p.err
	}
	return statement, nil
}

func (p *parser) statement() Statement {
	keyword := p.next()
	if keyword.kind != wordToken {
		return p.fail(Errorf(SyntaxError, "syntax error at or near %s", keyword))
	}
	switch keyword.text {
	case "create":
		if p.nextIs("table") {
			p.next()
			return p.createTable()
		}
	case "drop":
		if p.nextIs("table") {
			p.next()
			return p.dropTable()
		}
	case "insert":
		return p.insert()
	case "select":
		return p.selectStatement()
	case "update":
		return p.update()
	case "delete":
		return p.delete()
	case "begin", "start", "commit", "end", "rollback", "abort":
		return p.transaction(keyword.text)
	case "set", "reset", "show", "discard", "deallocate":
		return p.sessionStatement(keyword.text)
	}
	if slices.Contains(unsupportedStatements, keyword.text) {
		return p.fail(Errorf(FeatureNotSupported, "%s is not supported", keyword.text))
	}
	return p.fail(Errorf(SyntaxError, "syntax error at or near %s", keyword))
}

// fail keeps the first error and drops the remaining tokens.
func (p *parser) fail(err *Error) Statement {
	if p.err == nil {
		p.err = err
	}
	p.tokens = nil
	return nil
}

func (p *parser) peek() token {
	if len(p.tokens) == 0 {
		return token{}
	}
	return p.tokens[0]
}

func (p *parser) next() token {
	t := p.peek()
	if len(p.tokens) > 0 {
		p.tokens = p.tokens[1:]
	}
	return t
}

// nextIs reports whether the next tokens are the given keywords or symbols.
func (p *parser) nextIs(texts ...string) bool {
	if len(p.tokens) < len(texts) {
		return false
	}
	for i, text := range texts {
		t := p.tokens[i]
		if t.text != text || t.kind != wordToken && t.kind != symbolToken {
			return false
		}
	}
	return true
}

// accept consumes the next tokens if they are the given keywords or symbols.
func (p *parser) accept(texts ...string) bool {
	if !p.nextIs(texts...) {
		return false
	}
	p.tokens = p.tokens[len(texts):]
	return true
}

// expect consumes the given keywords or symbols, or fails.
func (p *parser) expect(texts ...string) {
	for _, text := range texts {
		if !p.accept(text) {
			p.fail(p.unexpected())
			return
		}
	}
}

// unexpected returns the error for the next token.
func (p *parser) unexpected() *Error {
	t := p.peek()
	if t.kind == wordToken && slices.Contains(unsupportedClauses, t.text) {
		return Errorf(FeatureNotSupported, "%s is not supported here", t)
	}
	return Errorf(SyntaxError, "syntax error at or near %s", t)
}

func (p *parser) identifier() string {
	t := p.peek()
	if t.kind != wordToken && t.kind != quotedToken {
		p.fail(p.unexpected())
		return ""
	}
	return p.next().text
}

func (p *parser) name(defaultSchema string) Name {
	first := p.identifier()
	if p.accept(".") {
		return Name{first, p.identifier()}
	}
	return Name{defaultSchema, first}
}

func (p *parser) tableName() Name { return p.name("public") }

// columnName parses a column, optionally qualified by a table name.
func (p *parser) columnName() string {
	name := p.identifier()
	for p.accept(".") {
		name = p.identifier()
	}
	return name
}

// list parses items separated by commas.
func (p *parser) list(item func()) {
	item()
	for p.err == nil && p.accept(",") {
		item()
	}
}

func (p *parser) columnList() (columns []string) {
	p.expect("(")
	p.list(func() { columns = append(columns, p.identifier()) })
	p.expect(")")
	return columns
}

func (p *parser) createTable() Statement {
	s := &CreateTable{IfNotExists: p.accept("if", "not", "exists")}
	s.Table = p.tableName()
	p.expect("(")
	p.list(func() { p.tableElement(s) })
	p.expect(")")
	for _, columns := range s.Unique {
		for _, name := range columns {
			if !slices.ContainsFunc(s.Columns, func(c Column) bool { return c.Name == name }) {
				return p.fail(Errorf(UndefinedColumn, "column %q named in key does not exist", name))
			}
		}
	}
	return s
}

func (p *parser) tableElement(s *CreateTable) {
	if p.accept("constraint") {
		p.identifier()
	}
	switch {
	case p.accept("primary", "key"):
		columns := p.columnList()
		s.setNotNull(columns)
		s.Unique = append(s.Unique, columns)
	case p.accept("unique"):
		s.Unique = append(s.Unique, p.columnList())
	default:
		p.column(s)
	}
}

func (s *CreateTable) setNotNull(columns []string) {
	for i, column := range s.Columns {
		if slices.Contains(columns, column.Name) {
			s.Columns[i].NotNull = true
		}
	}
}

func (p *parser) column(s *CreateTable) {
	column := Column{Name: p.identifier(), Type: p.typeName()}
	if slices.ContainsFunc(s.Columns, func(c Column) bool { return c.Name == column.Name }) {
		p.fail(Errorf(DuplicateColumn, "column %q specified more than once", column.Name))
	}
	for p.err == nil {
		switch {
		case p.accept("primary", "key"):
			column.NotNull = true
			s.Unique = append(s.Unique, []string{column.Name})
		case p.accept("unique"):
			s.Unique = append(s.Unique, []string{column.Name})
		case p.accept("not", "null"):
			column.NotNull = true
		case p.accept("null"):
		case p.accept("default"):
			column.Default = p.defaultValue(column.Type)
		default:
			s.Columns = append(s.Columns, column)
			return
		}
	}
}

func (p *parser) defaultValue(t Type) Value {
	literal, ok := p.primary().(*Literal)
	if !ok {
		if p.err == nil {
			p.fail(Errorf(FeatureNotSupported, "a default must be a literal"))
		}
		return Value{}
	}
	value, err := literal.Value.Convert(t)
	if err != nil && p.err == nil {
		p.err = err
	}
	return value
}

// typeName parses a type. Types without a representation of their own are Text.
func (p *parser) typeName() Type {
	name := p.identifier()
	t := Text
	switch name {
	case "int", "integer", "int4", "smallint", "int2":
		t = Int4
	case "bigint", "int8":
		t = Int8
	case "bool", "boolean":
		t = Bool
	case "double", "float8":
		p.accept("precision")
		t = Float8
	case "timestamp":
		_ = p.accept("with", "time", "zone") || p.accept("without", "time", "zone")
	case "text", "varchar", "timestamptz":
		if p.accept("(") {
			p.next()
			p.expect(")")
		}
	default:
		if p.err == nil {
			p.fail(Errorf(UndefinedObject, "type %q does not exist", name))
		}
	}
	return t
}

func (p *parser) dropTable() Statement {
	s := &DropTable{IfExists: p.accept("if", "exists")}
	p.list(func() { s.Tables = append(s.Tables, p.tableName()) })
	return s
}

func (p *parser) insert() Statement {
	p.expect("into")
	s := &Insert{Table: p.tableName()}
	if p.nextIs("(") {
		s.Columns = p.columnList()
	}
	if p.accept("default", "values") {
		s.Rows = [][]Expression{{}}
	} else {
		p.expect("values")
		p.list(func() { s.Rows = append(s.Rows, p.valueRow()) })
	}
	if p.accept("on", "conflict") {
		s.ConflictDoNothing = true
		if p.nextIs("(") {
			s.ConflictColumns = p.columnList()
		}
		if !p.accept("do", "nothing") {
			return p.fail(Errorf(FeatureNotSupported, "only ON CONFLICT DO NOTHING is supported"))
		}
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) valueRow() (row []Expression) {
	p.expect("(")
	p.list(func() {
		if p.accept("default") {
			row = append(row, nil)
			return
		}
		row = append(row, p.expression())
	})
	p.expect(")")
	return row
}

func (p *parser) returning() []Output {
	if !p.accept("returning") {
		return nil
	}
	return p.outputs()
}

func (p *parser) outputs() (outputs []Output) {
	p.list(func() { outputs = append(outputs, p.output()) })
	return outputs
}

func (p *parser) output() Output {
	if p.accept("*") {
		return Output{}
	}
	output := Output{Expression: p.expression()}
	output.Name = outputName(output.Expression)
	alias := p.peek()
	switch {
	case p.accept("as"):
		output.Name = p.identifier()
	case alias.kind == quotedToken, alias.kind == wordToken && !slices.Contains(reservedWords, alias.text):
		output.Name = p.identifier()
	}
	return output
}

// outputName returns the name of an output column without an alias.
func outputName(e Expression) string {
	switch e := e.(type) {
	case *ColumnRef:
		return e.Name
	case *Call:
		return e.Function.Name
	case *Cast:
		return outputName(e.Operand)
	}
	return "?column?"
}

func (p *parser) selectStatement() Statement {
	s := &Select{Outputs: p.outputs()}
	if p.accept("from") {
		p.from(s)
	}
	s.Where = p.where()
	if p.accept("order", "by") {
		p.list(func() { s.OrderBy = append(s.OrderBy, p.order()) })
	}
	if p.accept("limit") && !p.accept("all") {
		s.Limit = p.primary()
	}
	if p.accept("offset") {
		s.Offset = p.primary()
	}
	if s.Limit == nil && p.accept("limit") {
		s.Limit = p.primary()
	}
	return s
}

func (p *parser) from(s *Select) {
	name := p.tableName()
	if !p.nextIs("(") {
		s.Table = &name
		return
	}
	s.Call = &Call{Function: functionName(name), Args: p.arguments()}
}

// functionName returns the name under which a function is looked up. Schema
// pg_catalog is treated as public, as PostgreSQL searches it for unqualified
// names.
func functionName(name Name) Name {
	if name.Schema == "pg_catalog" {
		name.Schema = "public"
	}
	return name
}

func (p *parser) arguments() (args []Expression) {
	p.expect("(")
	if p.accept(")") {
		return nil
	}
	if p.accept("*") {
		p.expect(")")
		return nil
	}
	p.list(func() { args = append(args, p.expression()) })
	p.expect(")")
	return args
}

func (p *parser) order() Order {
	order := Order{Column: p.columnName()}
	if p.accept("desc") {
		order.Descending = true
	} else {
		p.accept("asc")
	}
	return order
}

func (p *parser) where() (conditions []Condition) {
	if !p.accept("where") {
		return nil
	}
	conditions = append(conditions, p.condition())
	for p.err == nil && p.accept("and") {
		conditions = append(conditions, p.condition())
	}
	return conditions
}

var operators = map[string]Operator{
	"=": Equal, "<>": NotEqual, "!=": NotEqual, "<": Less, "<=": LessOrEqual, ">": Greater, ">=": GreaterOrEqual,
}

// mirroredOperators gives the operators for swapped operands.
var mirroredOperators = map[Operator]Operator{
	Equal: Equal, NotEqual: NotEqual,
	Less: Greater, LessOrEqual: GreaterOrEqual, Greater: Less, GreaterOrEqual: LessOrEqual,
}

// condition parses a comparison. If the column is on the right, it swaps the
// operands.
func (p *parser) condition() Condition {
	if p.nextIs("not") || p.nextIs("exists") {
		p.fail(p.unexpected())
		return Condition{}
	}
	left := p.expression()
	column, isColumn := left.(*ColumnRef)
	if p.accept("is") {
		condition := Condition{Operator: IsNull}
		if p.accept("not") {
			condition.Operator = IsNotNull
		}
		p.expect("null")
		if isColumn {
			condition.Column = column.Name
			return condition
		}
		return p.unsupportedCondition()
	}
	operator, ok := operators[p.peek().text]
	if !ok || p.peek().kind != symbolToken {
		p.fail(p.unexpected())
		return Condition{}
	}
	p.next()
	right := p.expression()
	if isColumn {
		return Condition{column.Name, operator, right}
	}
	if column, ok := right.(*ColumnRef); ok {
		return Condition{column.Name, mirroredOperators[operator], left}
	}
	return p.unsupportedCondition()
}

func (p *parser) unsupportedCondition() Condition {
	if p.err == nil {
		p.fail(Errorf(FeatureNotSupported, "a condition must name a column"))
	}
	return Condition{}
}

func (p *parser) update() Statement {
	s := &Update{Table: p.tableName()}
	p.expect("set")
	p.list(func() {
		assignment := Assignment{Column: p.identifier()}
		p.expect("=")
		assignment.Value = p.expression()
		s.Set = append(s.Set, assignment)
	})
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) delete() Statement {
	p.expect("from")
	s := &Delete{Table: p.tableName()}
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

// expression parses one or more primary expressions joined by + and -.
func (p *parser) expression() Expression {
	left := p.primary()
	for p.err == nil && (p.nextIs("+") || p.nextIs("-")) {
		subtract := p.next().text == "-"
		left = &Sum{Left: left, Right: p.primary(), Subtract: subtract}
	}
	return left
}

// primary parses an operand, optionally followed by casts.
func (p *parser) primary() Expression {
	e := p.operand()
	for p.err == nil && p.accept("::") {
		e = &Cast{Operand: e, Type: p.typeName()}
	}
	return e
}

func (p *parser) operand() Expression {
	switch t := p.peek(); t.kind {
	case stringToken:
		return &Literal{Value{Valid: true, Type: Unknown, Text: p.next().text}}
	case integerToken, decimalToken:
		return p.number("")
	case paramToken:
		return p.param()
	case symbolToken:
		return p.symbolOperand()
	case wordToken, quotedToken:
		return p.wordOperand(t)
	case endToken:
	}
	p.fail(p.unexpected())
	return nil
}

func (p *parser) symbolOperand() Expression {
	switch {
	case p.accept("("):
		e := p.expression()
		p.expect(")")
		return e
	case p.accept("-"):
		if k := p.peek().kind; k == integerToken || k == decimalToken {
			return p.number("-")
		}
	case p.accept("+"):
		return p.operand()
	}
	p.fail(p.unexpected())
	return nil
}

func (p *parser) wordOperand(t token) Expression {
	if t.kind == wordToken {
		switch {
		case p.accept("null"):
			return &Literal{}
		case p.accept("true"):
			return &Literal{BoolValue(true)}
		case p.accept("false"):
			return &Literal{BoolValue(false)}
		case slices.Contains(reservedWords, t.text), slices.Contains(unsupportedClauses, t.text):
			p.fail(p.unexpected())
			return nil
		}
	}
	name := p.name("public")
	if p.nextIs("(") {
		return &Call{Function: functionName(name), Args: p.arguments()}
	}
	return &ColumnRef{name.Name}
}

func (p *parser) number(sign string) Expression {
	t := p.next()
	if t.kind == decimalToken {
		f, err := strconv.ParseFloat(sign+t.text, 64)
		if err != nil {
			p.fail(Errorf(NumericOutOfRange, "number %s is out of range", t.text))
		}
		return &Literal{Value{Valid: true, Type: Float8, Float: f}}
	}
	n, err := strconv.ParseInt(sign+t.text, 10, 64)
	if err != nil {
		p.fail(Errorf(NumericOutOfRange, "number %s is out of range", t.text))
	}
	if n < math.MinInt32 || n > math.MaxInt32 {
		return &Literal{IntValue(n)}
	}
	return &Literal{Value{Valid: true, Type: Int4, Int: n}}
}

func (p *parser) param() Expression {
	t := p.next()
	n, err := strconv.Atoi(t.text)
	if err != nil || n < 1 || n > math.MaxUint16 {
		p.fail(Errorf(UndefinedParameter, "there is no parameter $%s", t.text))
	}
	return &Param{n - 1}
}

func (p *parser) transaction(keyword string) Statement {
	if keyword == "start" {
		p.expect("transaction")
	} else {
		_ = p.accept("transaction") || p.accept("work")
	}
	switch keyword {
	case "begin", "start":
		readOnly := p.transactionModes()
		return &Begin{ReadOnly: readOnly != nil && *readOnly}
	case "commit", "end":
		if p.nextIs("prepared") {
			return p.fail(Errorf(FeatureNotSupported, "two-phase commit is not supported"))
		}
		return &Commit{}
	default:
		if p.nextIs("to") || p.nextIs("prepared") {
			return p.fail(Errorf(FeatureNotSupported, "savepoints and two-phase commit are not supported"))
		}
		return &Rollback{}
	}
}

// transactionModes parses the modes of a transaction and returns whether it is
// read-only, or nil if no access mode is given. Isolation levels are accepted but
// ignored.
func (p *parser) transactionModes() (readOnly *bool) {
	for p.err == nil {
		switch {
		case p.accept("read", "only"):
			readOnly = new(true)
		case p.accept("read", "write"):
			readOnly = new(false)
		case p.accept("isolation", "level"):
			_ = p.accept("serializable") || p.accept("repeatable", "read") ||
				p.accept("read", "committed") || p.accept("read", "uncommitted")
		case p.accept("not", "deferrable"), p.accept("deferrable"), p.accept(","):
		default:
			return readOnly
		}
	}
	return readOnly
}

func (p *parser) sessionStatement(keyword string) Statement {
	switch keyword {
	case "set":
		return p.set()
	case "reset":
		if p.accept("all") {
			return &Set{Reset: true}
		}
		return &Set{Name: p.settingName(), Reset: true}
	case "show":
		return &Show{p.settingName()}
	case "discard":
		if !p.accept("all") {
			return p.fail(Errorf(FeatureNotSupported, "only DISCARD ALL is supported"))
		}
		return &Discard{}
	default:
		p.accept("prepare")
		if p.accept("all") {
			return &Deallocate{}
		}
		return &Deallocate{p.identifier()}
	}
}

func (p *parser) set() Statement {
	switch {
	case p.accept("session", "characteristics", "as", "transaction"):
		value := "off"
		if readOnly := p.transactionModes(); readOnly != nil && *readOnly {
			value = "on"
		}
		return &Set{Name: "default_transaction_read_only", Value: &value}
	case p.accept("transaction"):
		return &SetTransaction{ReadOnly: p.transactionModes()}
	}
	_ = p.accept("session") || p.accept("local")
	if p.accept("time", "zone") {
		return &Set{Name: "timezone", Value: p.settingValue()}
	}
	name := p.settingName()
	if !p.accept("=") {
		p.expect("to")
	}
	return &Set{Name: name, Value: p.settingValue()}
}

// settingName parses the name of a setting, which may have a prefix.
func (p *parser) settingName() string {
	if p.accept("transaction", "isolation", "level") {
		return "transaction_isolation"
	}
	name := p.identifier()
	for p.accept(".") {
		name += "." + p.identifier()
	}
	return name
}

func (p *parser) settingValue() *string {
	if p.accept("default") {
		return nil
	}
	var value string
	p.list(func() {
		if value != "" {
			value += ", "
		}
		sign := ""
		if p.accept("-") {
			sign = "-"
		}
		t := p.next()
		if t.kind == endToken || t.kind == symbolToken || t.kind == paramToken {
			p.fail(Errorf(SyntaxError, "syntax error at or near %s", t))
		}
		value += sign + t.text
	})
	return &value
}
