package histories

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Swap is a conditional write to a register: it sets New where the register
// holds Old. Succeeded is known when the outcome is Done.
type Swap struct {
	Register  string
	Old, New  int
	Outcome   Outcome
	Succeeded bool
	Host      string
	Start     time.Time
	End       time.Time
}

// Register is a concurrent record of swaps. The zero value is empty; each
// register starts at 0.
type Register struct {
	mu    sync.Mutex
	swaps []Swap
}

// Add records a finished swap.
func (r *Register) Add(s Swap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swaps = append(r.swaps, s)
}

// Swaps returns the recorded swaps.
func (r *Register) Swaps() []Swap {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Swap(nil), r.swaps...)
}

// Linearizable reports whether the swaps are those of atomic registers. A swap
// that was not run does not count, and one of unknown outcome may take effect
// at any time after its start. A false answer is definite; the search gives up
// after the limit with porcupine.Unknown.
func (r *Register) Linearizable(limit time.Duration) porcupine.CheckResult {
	swaps := r.Swaps()
	var begin, end time.Time
	for _, s := range swaps {
		if begin.IsZero() || s.Start.Before(begin) {
			begin = s.Start
		}
		if s.End.After(end) {
			end = s.End
		}
	}
	var operations []porcupine.Operation
	for i, s := range swaps {
		if s.Outcome == NotRun {
			continue
		}
		returned := s.End.Sub(begin).Nanoseconds()
		if s.Outcome == Unknown {
			returned = end.Sub(begin).Nanoseconds() + 1
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: s, Output: nil, Call: s.Start.Sub(begin).Nanoseconds(), Return: returned,
		})
	}
	return porcupine.CheckOperationsTimeout(swapModel, operations, limit)
}

// swapModel is the sequential specification of a register under swaps. The
// recorded swap carries both the request and its answer.
var swapModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			name := o.Input.(Swap).Register
			parts[name] = append(parts[name], o)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, _ any) []any {
		s, held := input.(Swap), state.(int)
		swapped := held
		if held == s.Old {
			swapped = s.New
		}
		switch {
		case s.Outcome == Unknown && swapped != held:
			return []any{held, swapped}
		case s.Outcome == Unknown || s.Succeeded == (held == s.Old):
			return []any{swapped}
		default:
			return nil
		}
	},
}).ToModel()
