package backendserver

import (
	"context"
	"slices"

	"basilmill/standin/internal/sql"
)

// epoch counts the intervals in which the server accepts writes without
// interruption. A write transaction fails when its epoch has ended.
type epoch int64

// transaction is the transaction of a session. It reads committed rows
// overlaid with its own changes.
type transaction struct {
	server   *Server
	explicit bool
	readOnly bool
	failed   bool

	// writing, epoch and locks are set by the first write.
	writing bool
	epoch   epoch
	locks   *locks

	operations []operation
	changes    map[tableID]*changes
	// settings are the session's settings at the start, restored on rollback.
	settings map[string]string
}

// changes are a transaction's uncommitted changes of one table.
type changes struct {
	// created is the table if the transaction created it; dropped tells that
	// the transaction dropped the committed table.
	created *table
	dropped bool
	// rows holds changed and inserted rows; nil marks a removed row.
	rows     map[rowID]row
	inserted []rowID
	lastRow  rowID
	// keys overlays the indexes; 0 marks a key that was removed.
	keys []map[string]rowID
}

// lock locks a table for writing. It waits for the transaction that holds it.
func (t *transaction) lock(ctx context.Context, id tableID) error {
	if t.readOnly {
		return sql.Errorf(sql.ReadOnlyTransaction, "cannot write in a read-only transaction")
	}
	if !t.writing {
		if err := t.server.beginWrite(t); err != nil {
			return err
		}
	}
	if err := t.locks.acquire(ctx, t, id); err != nil {
		return err
	}
	t.server.mu.RLock()
	defer t.server.mu.RUnlock()
	return t.checkEpoch()
}

// checkEpoch returns an error when the server stopped accepting the
// transaction's writes. The caller holds the server's mutex.
func (t *transaction) checkEpoch() error {
	switch {
	case !t.writing || t.epoch == t.server.epoch:
		return nil
	case t.explicit:
		return sql.Errorf(sql.SerializationFailure, "the server stopped accepting writes; the transaction is rolled back")
	default:
		return sql.Errorf(sql.ReadOnlyTransaction, "the server stopped accepting writes")
	}
}

// table returns the transaction's view of a table. The caller holds the
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

func (t *transaction) changesOf(id tableID) *changes {
	c := t.changes[id]
	if c == nil {
		c = &changes{}
		if t.changes == nil {
			t.changes = map[tableID]*changes{}
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
	t.changes[id] = &changes{dropped: true}
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

// end releases the transaction's locks and drops uncommitted changes. It may
// be repeated.
func (t *transaction) end() {
	if t.writing {
		t.server.endWrite(t)
		t.locks.release(t)
	}
	t.writing, t.operations, t.changes = false, nil, nil
}

// view is a transaction's view of one table.
type view struct {
	*table
	id          tableID
	changes     *changes
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

// find returns the row that holds a unique key, or 0.
func (v *view) find(constraint int, key string) rowID {
	if v.changes != nil && v.changes.keys != nil {
		if id, ok := v.changes.keys[constraint][key]; ok {
			return id
		}
	}
	return v.indexes[constraint][key]
}

// all calls visit for each row in order until it returns false.
func (v *view) all(visit func(rowID, row) bool) {
	var inserted []rowID
	if v.changes != nil {
		inserted = v.changes.inserted
	}
	for _, ids := range [][]rowID{v.order, inserted} {
		for _, id := range ids {
			if r := v.row(id); r != nil && !visit(id, r) {
				return
			}
		}
	}
}

// writable prepares the view for changes.
func (v *view) writable() {
	v.changes = v.transaction.changesOf(v.id)
	c := v.changes
	if c.rows != nil {
		return
	}
	c.rows = map[rowID]row{}
	c.lastRow = v.lastRow
	for range v.Unique {
		c.keys = append(c.keys, map[string]rowID{})
	}
}

// conflict returns the first of the given constraints that a new version of
// a row violates, or -1.
func (v *view) conflict(id rowID, r row, constraints []int) int {
	return slices.IndexFunc(constraints, func(i int) bool {
		key, ok := v.uniqueKey(i, r)
		if !ok {
			return false
		}
		holder := v.find(i, key)
		return holder != 0 && holder != id
	})
}

func (v *view) insert(r row) error {
	id := v.changes.lastRow + 1
	if err := v.put(id, r); err != nil {
		return err
	}
	v.changes.lastRow = id
	v.changes.inserted = append(v.changes.inserted, id)
	return nil
}

func (v *view) put(id rowID, r row) error {
	for i, c := range v.Columns {
		if c.NotNull && !r[i].Valid {
			return sql.Errorf(sql.NotNullViolation, "null value in column %q of relation %q", c.Name, v.id.Name)
		}
	}
	if v.conflict(id, r, v.constraints()) >= 0 {
		return sql.Errorf(sql.UniqueViolation, "duplicate key value violates a unique constraint of %q", v.id.Name)
	}
	if old := v.row(id); old != nil {
		v.setKeys(old, 0)
	}
	v.setKeys(r, id)
	v.record(operation{Kind: putRow, Table: v.id, Row: id, Values: r})
	return nil
}

func (v *view) remove(id rowID) {
	v.setKeys(v.row(id), 0)
	v.record(operation{Kind: removeRow, Table: v.id, Row: id})
}

func (v *view) record(o operation) {
	v.changes.rows[o.Row] = o.Values
	v.transaction.operations = append(v.transaction.operations, o)
}

func (v *view) setKeys(r row, id rowID) {
	for i := range v.Unique {
		if key, ok := v.uniqueKey(i, r); ok {
			v.changes.keys[i][key] = id
		}
	}
}

func (v *view) constraints() []int {
	all := make([]int, len(v.Unique))
	for i := range all {
		all[i] = i
	}
	return all
}
