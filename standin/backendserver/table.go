package backendserver

import (
	"encoding/binary"
	"slices"

	"basilmill/standin/internal/sql"
)

// tableID names a table of the server. All databases share one log.
type tableID struct {
	Database string
	Name     sql.Name
}

// rowID identifies a row of a table. Rows are scanned in the order of ids.
type rowID int64

type row []sql.Value

// schema describes the columns of a table or of a function's result.
type schema struct {
	Columns []sql.Column
	// Unique lists the column indexes of each unique constraint.
	Unique [][]int
}

func newSchema(columns []sql.Column, unique [][]string) schema {
	s := schema{Columns: columns}
	for _, names := range unique {
		var indexes []int
		for _, name := range names {
			indexes = append(indexes, s.index(name))
		}
		s.Unique = append(s.Unique, indexes)
	}
	return s
}

// index returns the position of a column, or -1.
func (s *schema) index(name string) int {
	return slices.IndexFunc(s.Columns, func(c sql.Column) bool { return c.Name == name })
}

func (s *schema) column(name string) (int, error) {
	if i := s.index(name); i >= 0 {
		return i, nil
	}
	return -1, sql.Errorf(sql.UndefinedColumn, "column %q does not exist", name)
}

// uniqueKey returns the key of a row in a unique constraint. Rows with a NULL
// in the constraint's columns have none.
func (s *schema) uniqueKey(constraint int, r row) (key string, ok bool) {
	var buffer []byte
	for _, i := range s.Unique[constraint] {
		if !r[i].Valid {
			return "", false
		}
		text := r[i].String()
		buffer = binary.AppendUvarint(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	return string(buffer), true
}

// table holds the committed rows of a table.
type table struct {
	schema
	rows    map[rowID]row
	order   []rowID // ascending; may contain ids of deleted rows
	lastRow rowID
	indexes []map[string]rowID
}

func newTable(s schema) *table {
	t := &table{schema: s, rows: map[rowID]row{}}
	for range s.Unique {
		t.indexes = append(t.indexes, map[string]rowID{})
	}
	return t
}

// put inserts or replaces a row.
func (t *table) put(id rowID, r row) {
	if old, ok := t.rows[id]; ok {
		t.unindex(id, old)
	} else {
		t.order = append(t.order, id)
		t.lastRow = max(t.lastRow, id)
	}
	t.rows[id] = r
	for i, index := range t.indexes {
		if key, ok := t.uniqueKey(i, r); ok {
			index[key] = id
		}
	}
}

func (t *table) remove(id rowID) {
	t.unindex(id, t.rows[id])
	delete(t.rows, id)
	if len(t.order) > 32 && len(t.order) > 2*len(t.rows) {
		t.order = slices.DeleteFunc(t.order, func(id rowID) bool { return t.rows[id] == nil })
	}
}

// unindex removes the keys of a row. A key that already belongs to another
// row stays: one transaction may exchange the keys of two rows.
func (t *table) unindex(id rowID, r row) {
	for i, index := range t.indexes {
		if key, ok := t.uniqueKey(i, r); ok && index[key] == id {
			delete(index, key)
		}
	}
}

// catalog holds the committed tables.
type catalog map[tableID]*table

// requestKeys is the table that the platform provides in each database.
var requestKeys = sql.Name{Schema: "basilmill", Name: "request_key"}

// noRequestKeys stands for a table of request keys without committed rows.
var noRequestKeys = newTable(requestKeySchema())

// lookup returns a table, or nil. The table of request keys exists in each
// database from the start.
func (c catalog) lookup(id tableID) *table {
	t := c[id]
	if t == nil && id.Name == requestKeys {
		return noRequestKeys
	}
	return t
}

// table returns a table to change.
func (c catalog) table(id tableID) *table {
	if t := c[id]; t != nil || id.Name != requestKeys {
		return t
	}
	return c.create(id, requestKeySchema())
}

func (c catalog) create(id tableID, s schema) *table {
	t := newTable(s)
	c[id] = t
	return t
}

func requestKeySchema() schema {
	return newSchema([]sql.Column{
		{Name: "account", Type: sql.Text, NotNull: true},
		{Name: "key", Type: sql.Text, NotNull: true},
		{Name: "tag", Type: sql.Text},
		{Name: "created", Type: sql.Text},
	}, [][]string{{"account", "key"}})
}

// apply applies the operations of one log entry.
func (c catalog) apply(operations []operation) {
	for _, o := range operations {
		switch o.Kind {
		case createTable:
			c.create(o.Table, o.Schema)
		case dropTable:
			delete(c, o.Table)
		case putRow:
			c.table(o.Table).put(o.Row, o.Values)
		case removeRow:
			c.table(o.Table).remove(o.Row)
		}
	}
}
