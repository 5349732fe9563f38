package backendserver

import (
	"time"

	"basilmill/core/group"
)

// Sizes in bytes from which the offsets of log entries are computed. They
// approximate a compact encoding, so that offsets grow with the amount of data
// written.
const (
	entrySize     = 24
	operationSize = 16
	valueSize     = 8
)

// operationKind is the kind of change that an operation makes.
type operationKind uint8

const (
	createTable operationKind = iota
	dropTable
	putRow
	removeRow
)

// operation is the creation or removal of a table or a row. Its fields are
// exported for encoding/gob.
type operation struct {
	Kind   operationKind
	Table  tableID
	Row    rowID
	Values row
	Schema schema
}

// entry is one committed write transaction or the start of a term.
type entry struct {
	Term       group.Term
	Start, End group.Offset
	Operations []operation
	// loggedAt is the local time at which the entry was committed or received.
	// The replication delay and the apply delay count from it.
	loggedAt time.Time
}

// encodedSize returns the size of an entry with the operations.
func encodedSize(operations []operation) group.Offset {
	size := group.Offset(entrySize)
	for _, o := range operations {
		size += operationSize
		for _, v := range o.Values {
			size += valueSize + group.Offset(len(v.Text))
		}
	}
	return size
}

// termStart is the offset at which a term begins in a log.
type termStart struct {
	Term  group.Term
	Start group.Offset
}

// log is the server's log together with the tables that result from its applied
// entries. Each term has a single primary, so two logs with the same start of a
// term are equal up to the end of that term in the log where it ends earlier.
type log struct {
	entries      []entry
	terms        []termStart
	appliedCount int // number of applied entries
	tables       catalog
}

func newLog() *log { return &log{tables: catalog{}} }

// end returns the offset of the end of the log.
func (l *log) end() group.Offset { return l.endAfter(len(l.entries)) }

// appliedEnd returns the end of the last applied entry.
func (l *log) appliedEnd() group.Offset { return l.endAfter(l.appliedCount) }

// endAfter returns the end of the first count entries.
func (l *log) endAfter(count int) group.Offset {
	if count == 0 {
		return 0
	}
	return l.entries[count-1].End
}

// currentTerm returns the term of the last entry and the start of that term.
// It is zero for an empty log.
func (l *log) currentTerm() termStart {
	if len(l.terms) == 0 {
		return termStart{}
	}
	return l.terms[len(l.terms)-1]
}

// commit appends and applies the operations of a transaction.
func (l *log) commit(operations []operation, at time.Time) group.Offset {
	start := l.end()
	l.append(entry{
		Term: l.currentTerm().Term, Start: start, End: start + encodedSize(operations), Operations: operations, loggedAt: at,
	})
	l.applyAll()
	return l.end()
}

// startTerm appends the entry that starts a term and applies all entries.
func (l *log) startTerm(term group.Term, at time.Time) {
	start := l.end()
	l.append(entry{Term: term, Start: start, End: start + entrySize, loggedAt: at})
	l.applyAll()
}

// append appends an entry without applying it.
func (l *log) append(e entry) {
	if e.Term > l.currentTerm().Term {
		l.terms = append(l.terms, termStart{e.Term, e.Start})
	}
	l.entries = append(l.entries, e)
}

func (l *log) applyAll() {
	for l.appliedCount < len(l.entries) {
		l.applyNext()
	}
}

func (l *log) applyNext() {
	l.tables.apply(l.entries[l.appliedCount].Operations)
	l.appliedCount++
}

// commonPrefixEnd returns the end of the common prefix of this log and another
// one, which is given by its terms and its end.
func (l *log) commonPrefixEnd(terms []termStart, end group.Offset) (common group.Offset) {
	for i := range min(len(l.terms), len(terms)) {
		if l.terms[i] != terms[i] {
			break
		}
		common = min(endOfTerm(l.terms, i, l.end()), endOfTerm(terms, i, end))
	}
	return common
}

func endOfTerm(terms []termStart, i int, end group.Offset) group.Offset {
	if i+1 < len(terms) {
		return terms[i+1].Start
	}
	return end
}

// truncate drops the entries past an offset. If some of them were applied, it
// rebuilds the tables from the remaining entries.
func (l *log) truncate(end group.Offset) {
	kept := newLog()
	for _, e := range l.entries {
		if e.End > end {
			break
		}
		kept.append(e)
	}
	if l.appliedCount <= len(kept.entries) {
		kept.appliedCount, kept.tables = l.appliedCount, l.tables
	} else {
		kept.applyAll()
	}
	*l = *kept
}

// entryIndexAt returns the index of the entry that starts at an offset. This is
// the number of entries if the offset is the end of the log, and -1 if no entry
// starts there.
func (l *log) entryIndexAt(offset group.Offset) int {
	if offset == l.end() {
		return len(l.entries)
	}
	low, high := 0, len(l.entries)
	for low < high {
		middle := (low + high) / 2
		if l.entries[middle].Start < offset {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(l.entries) && l.entries[low].Start == offset {
		return low
	}
	return -1
}
