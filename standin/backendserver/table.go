package backendserver

import (
	"encoding/binary"
	"slices"

	"basilmill/standin/internal/sql"
)

// tableID identifies a table by database and name, because all databases of
// the server share one log.
type tableID struct {
	Database string
	Name     sql.Name
}

// rowID identifies a row of a table. A scan returns rows in the order of their
// ids.
type rowID int64

// row holds the values of one row in the order of the columns.
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

// uniqueKey returns the key of a row in a unique constraint. A row with a NULL
// in one of the constraint's columns has none.
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
	rows      map[rowID]row
	rowIDs    []rowID // ascending; may contain ids of deleted rows
	lastRowID rowID
	// indexes maps unique keys to rows, for each unique constraint.
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
		t.rowIDs = append(t.rowIDs, id)
		t.lastRowID = max(t.lastRowID, id)
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
	if len(t.rowIDs) > 32 && len(t.rowIDs) > 2*len(t.rows) {
		t.rowIDs = slices.DeleteFunc(t.rowIDs, func(id rowID) bool { return t.rows[id] == nil })
	}
}

// unindex removes the keys of a row from the indexes. It keeps a key that
// already belongs to another row, because one transaction may swap the keys of
// two rows.
func (t *table) unindex(id rowID, r row) {
	for i, index := range t.indexes {
		if key, ok := t.uniqueKey(i, r); ok && index[key] == id {
			delete(index, key)
		}
	}
}

// catalog holds the committed tables of all databases.
type catalog map[tableID]*table

// requestKeys is the name of the table of request keys, which the platform
// provides in each database.
var requestKeys = sql.Name{Schema: "basilmill", Name: "request_key"}

// emptyRequestKeys is the table of request keys of a database to which no
// request key has been committed.
var emptyRequestKeys = newTable(requestKeySchema())

// lookup returns a table for reading, or nil. The table of request keys exists
// in each database from the start.
func (c catalog) lookup(id tableID) *table {
	t := c[id]
	if t == nil && id.Name == requestKeys {
		return emptyRequestKeys
	}
	return t
}

// writableTable returns a table for changes, or nil. It creates the table of
// request keys on its first use.
func (c catalog) writableTable(id tableID) *table {
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
			c.writableTable(o.Table).put(o.Row, o.Values)
		case removeRow:
			c.writableTable(o.Table).remove(o.Row)
		}
	}
}
