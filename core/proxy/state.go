package proxy

import (
	"basilmill/core/budget"
	"basilmill/core/exchange"
)

const (
	// maxPrepared and maxValues bound the names of a session. Ordinary sessions have up to
	// some hundred prepared statements, and some values. Each SET copies the values.
	maxPrepared = 10_000
	maxValues   = 1_000
	// entryOverhead is what a name or value uses in a map beside its text, with the
	// digest of a prepared statement.
	entryOverhead = 192
)

// SetHolder makes the session count its names and values. It must be called before the
// first statement.
func (s *Session) SetHolder(h *budget.Holder) { s.holder = h }

// Refuse returns the answer to a statement that is not run, which leaves the session as
// it is.
func (s *Session) Refuse(code exchange.Code, text string) exchange.Answer { return s.fail(code, text) }

// entrySize returns the bytes that a name with a text uses.
func entrySize(name, text string) int { return len(name) + len(text) + entryOverhead }

// keep counts an entry of the given size, in place of the one that the name had if it is
// known. It returns false if there is no memory for it, or if the name is new and there
// are too many.
func (s *Session) keep(oldSize, size int, known, full bool) bool {
	if full && !known || !s.holder.Take(budget.State, size) {
		return false
	}
	if known {
		s.holder.Return(budget.State, oldSize)
	}
	return true
}
