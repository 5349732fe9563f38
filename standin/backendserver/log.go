package backendserver

import (
	"time"

	"basilmill/core/group"
)

// Sizes of log entries in bytes. They approximate a compact encoding, so that
// offsets grow with the amount of data written.
const (
	entrySize     = 24
	operationSize = 16
	valueSize     = 8
)

type operationKind uint8

const (
	createTable operationKind = iota
	dropTable
	putRow
	removeRow
)

// operation is one change of a table. Its fields are exported for
// encoding/gob.
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
	// at is the local time of the commit or of the receipt. Delays of
	// replication and of applying count from it.
	at time.Time
}

func sizeOf(operations []operation) group.Offset {
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

// log is the server's log with the tables that result from its applied part.
// Each term has a single writer, so logs that share the start of a term are
// equal up to the shorter end of that term.
type log struct {
	entries []entry
	terms   []termStart
	applied int // number of applied entries
	tables  catalog
}

func newLog() *log { return &log{tables: catalog{}} }

// end returns the offset of the end of the log.
func (l *log) end() group.Offset { return l.endOf(len(l.entries)) }

func (l *log) appliedEnd() group.Offset { return l.endOf(l.applied) }

func (l *log) endOf(count int) group.Offset {
	if count == 0 {
		return 0
	}
	return l.entries[count-1].End
}

// term returns the term of the last entry and its start. An empty log is in
// term 0.
func (l *log) term() termStart {
	if len(l.terms) == 0 {
		return termStart{}
	}
	return l.terms[len(l.terms)-1]
}

// commit appends and applies the operations of a transaction.
func (l *log) commit(operations []operation, at time.Time) group.Offset {
	start := l.end()
	l.append(entry{
		Term: l.term().Term, Start: start, End: start + sizeOf(operations), Operations: operations, at: at,
	})
	l.applyAll()
	return l.end()
}

// startTerm applies all entries and appends the entry that starts a term.
func (l *log) startTerm(term group.Term, at time.Time) {
	start := l.end()
	l.append(entry{Term: term, Start: start, End: start + entrySize, at: at})
	l.applyAll()
}

// append adds a received entry without applying it.
func (l *log) append(e entry) {
	if e.Term > l.term().Term {
		l.terms = append(l.terms, termStart{e.Term, e.Start})
	}
	l.entries = append(l.entries, e)
}

func (l *log) applyAll() {
	for l.applied < len(l.entries) {
		l.applyNext()
	}
}

func (l *log) applyNext() {
	l.tables.apply(l.entries[l.applied].Operations)
	l.applied++
}

// commonEnd returns the end of the common part of this log and another one,
// given the other's terms and end.
func (l *log) commonEnd(terms []termStart, end group.Offset) (common group.Offset) {
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

// truncate drops the entries past an offset. When applied entries are
// dropped, the tables are rebuilt from the remaining ones.
func (l *log) truncate(end group.Offset) {
	kept := newLog()
	for _, e := range l.entries {
		if e.End > end {
			break
		}
		kept.append(e)
	}
	if l.applied <= len(kept.entries) {
		kept.applied, kept.tables = l.applied, l.tables
	} else {
		kept.applyAll()
	}
	*l = *kept
}

// indexAfter returns the index of the entry that starts at an offset, or -1
// when none starts or will start there.
func (l *log) indexAfter(offset group.Offset) int {
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
