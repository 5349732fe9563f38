package backendserver

import (
	"context"
	"slices"

	"basilmill/standin/internal/sql"
)

// writeEpoch numbers the periods in which the server accepts writes without
// interruption. A write transaction fails when the epoch of its first write has
// ended.
type writeEpoch int64

// transaction is the implicit or explicit transaction of a session. It reads
// committed rows and its own uncommitted changes.
type transaction struct {
	server   *Server
	explicit bool
	readOnly bool
	failed   bool

	// writing, writeEpoch and lockTable are set by the first write.
	writing    bool
	writeEpoch writeEpoch
	lockTable  *lockTable

	operations []operation
	changes    map[tableID]*tableChanges
	// settings are the session's settings at the start of the transaction.
	// Rollback restores them.
	settings map[string]string
}

// tableChanges are the uncommitted changes of a transaction to one table.
type tableChanges struct {
	// created is the table if the transaction created it. dropped is set if
	// the transaction dropped the committed table.
	created *table
	dropped bool
	// rows holds changed and inserted rows. A removed row is nil.
	rows      map[rowID]row
	inserted  []rowID
	lastRowID rowID
	// keys holds the changes of each unique index. A removed key has id 0.
	keys []map[string]rowID
}

// lock locks a table for writing. It waits while another transaction holds the
// lock.
func (t *transaction) lock(ctx context.Context, id tableID) error {
	if t.readOnly {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write in a read-only transaction")
	}
	if !t.writing {
		if err := t.server.beginWrite(t); err != nil {
			return err
		}
	}
	if err := t.lockTable.acquire(ctx, t, id); err != nil {
		return err
	}
	t.server.mu.RLock()
	defer t.server.mu.RUnlock()
	return t.checkWriteEpoch()
}

// checkWriteEpoch returns an error if the write epoch of the transaction has
// ended. The caller must hold the server's mutex.
func (t *transaction) checkWriteEpoch() error {
	switch {
	case !t.writing || t.writeEpoch == t.server.writeEpoch:
		return nil
	case t.explicit:
		return sql.Errorf(sql.SerializationFailure, "the server stopped accepting writes; the transaction is rolled back")
	default:
		return sql.Errorf(sql.ReadOnlyTransaction, "the server stopped accepting writes")
	}
}

// table returns the transaction's view of a table. The caller must hold the
// server's mutex for reading.
func (t *transaction) table(id tableID) (*view, error) {
	c := t.changes[id]
	var base *table
	switch {
	case c != nil && c.created != nil:
		base = c.created
	case c == nil || !c.dropped:
		base = t.server.table(id)
	}
	if base == nil {
		return nil, sql.Errorf(sql.UndefinedTable, "relation %q does not exist", id.Name)
	}
	return &view{id: id, table: base, changes: c, transaction: t}, nil
}

// changesOf returns the changes to a table, which are empty at first.
func (t *transaction) changesOf(id tableID) *tableChanges {
	c := t.changes[id]
	if c == nil {
		c = &tableChanges{}
		if t.changes == nil {
			t.changes = map[tableID]*tableChanges{}
		}
		t.changes[id] = c
	}
	return c
}

func (t *transaction) createTable(id tableID, s schema) {
	t.changesOf(id).created = newTable(s)
	t.operations = append(t.operations, operation{Kind: createTable, Table: id, Schema: s})
}

func (t *transaction) dropTable(id tableID) {
	t.changes[id] = &tableChanges{dropped: true}
	t.operations = append(t.operations, operation{Kind: dropTable, Table: id})
}

// commit writes the changes to the log and ends the transaction.
func (t *transaction) commit() error {
	defer t.end()
	if len(t.operations) == 0 {
		return nil
	}
	return t.server.commit(t)
}

// end releases the transaction's locks and drops uncommitted changes. It may be
// called several times.
func (t *transaction) end() {
	if t.writing {
		t.server.endWrite(t)
		t.lockTable.release(t)
	}
	t.writing, t.operations, t.changes = false, nil, nil
}

// view is one table as a transaction sees it: the committed rows overlaid with
// the transaction's changes.
type view struct {
	*table
	id          tableID
	changes     *tableChanges
	transaction *transaction
}

// row returns the row with an id, or nil.
func (v *view) row(id rowID) row {
	if v.changes != nil {
		if r, ok := v.changes.rows[id]; ok {
			return r
		}
	}
	return v.rows[id]
}

// findByKey returns the id of the row that has a unique key, or 0.
func (v *view) findByKey(constraint int, key string) rowID {
	if v.changes != nil && v.changes.keys != nil {
		if id, ok := v.changes.keys[constraint][key]; ok {
			return id
		}
	}
	return v.indexes[constraint][key]
}

// forEachRow calls visit for each row in the order of ids until visit returns
// false.
func (v *view) forEachRow(visit func(rowID, row) bool) {
	var inserted []rowID
	if v.changes != nil {
		inserted = v.changes.inserted
	}
	for _, ids := range [][]rowID{v.rowIDs, inserted} {
		for _, id := range ids {
			if r := v.row(id); r != nil && !visit(id, r) {
				return
			}
		}
	}
}

// beginChanges prepares the view for changes. It must be called before the
// first change.
func (v *view) beginChanges() {
	v.changes = v.transaction.changesOf(v.id)
	c := v.changes
	if c.rows != nil {
		return
	}
	c.rows = map[rowID]row{}
	c.lastRowID = v.lastRowID
	for range v.Unique {
		c.keys = append(c.keys, map[string]rowID{})
	}
}

// violatedConstraint returns the position in constraints of the first one that
// a new version of a row violates, or -1.
func (v *view) violatedConstraint(id rowID, r row, constraints []int) int {
	return slices.IndexFunc(constraints, func(i int) bool {
		key, ok := v.uniqueKey(i, r)
		if !ok {
			return false
		}
		owner := v.findByKey(i, key)
		return owner != 0 && owner != id
	})
}

func (v *view) insert(r row) error {
	id := v.changes.lastRowID + 1
	if err := v.put(id, r); err != nil {
		return err
	}
	v.changes.lastRowID = id
	v.changes.inserted = append(v.changes.inserted, id)
	return nil
}

// put inserts or replaces a row after checking its constraints.
func (v *view) put(id rowID, r row) error {
	for i, c := range v.Columns {
		if c.NotNull && !r[i].Valid {
			return sql.Errorf(sql.NotNullViolation, "null value in column %q of relation %q", c.Name, v.id.Name)
		}
	}
	if v.violatedConstraint(id, r, v.allConstraints()) >= 0 {
		return sql.Errorf(sql.UniqueViolation, "duplicate key value violates a unique constraint of %q", v.id.Name)
	}
	if old := v.row(id); old != nil {
		v.setKeys(old, 0)
	}
	v.setKeys(r, id)
	v.recordOperation(operation{Kind: putRow, Table: v.id, Row: id, Values: r})
	return nil
}

func (v *view) remove(id rowID) {
	v.setKeys(v.row(id), 0)
	v.recordOperation(operation{Kind: removeRow, Table: v.id, Row: id})
}

func (v *view) recordOperation(o operation) {
	v.changes.rows[o.Row] = o.Values
	v.transaction.operations = append(v.transaction.operations, o)
}

// setKeys maps the unique keys of a row to an id, or marks them as removed if the
// id is 0.
func (v *view) setKeys(r row, id rowID) {
	for i := range v.Unique {
		if key, ok := v.uniqueKey(i, r); ok {
			v.changes.keys[i][key] = id
		}
	}
}

func (v *view) allConstraints() []int {
	indexes := make([]int, len(v.Unique))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}
