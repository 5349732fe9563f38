package histories

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Swap is a compare-and-swap of a register: it sets the value New if the
// register holds Old. Succeeded is valid only if the outcome is Done.
type Swap struct {
	Register  string
	Old, New  int
	Outcome   Outcome
	Succeeded bool
	Host      string
	Start     time.Time
	End       time.Time
}

// Register records the swaps of named registers, which start at 0. It is safe
// for concurrent use; the zero value is empty.
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

// Linearizable reports whether the recorded swaps are linearizable. Swaps with
// the outcome NotRun are ignored; a swap of unknown outcome may take effect at
// any time after its start. The result is porcupine.Unknown if the check
// exceeds the timeout.
func (r *Register) Linearizable(timeout time.Duration) porcupine.CheckResult {
	swaps := r.Swaps()
	var start, end time.Time
	for _, s := range swaps {
		if start.IsZero() || s.Start.Before(start) {
			start = s.Start
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
		returnTime := s.End.Sub(start).Nanoseconds()
		if s.Outcome == Unknown {
			returnTime = end.Sub(start).Nanoseconds() + 1
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: s, Output: nil, Call: s.Start.Sub(start).Nanoseconds(), Return: returnTime,
		})
	}
	return porcupine.CheckOperationsTimeout(registerModel, operations, timeout)
}

// registerModel is the sequential specification of a register. The input of an
// operation is the recorded swap, which holds both the request and its answer.
var registerModel = (&porcupine.NondeterministicModel{
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
		s, current := input.(Swap), state.(int)
		next := current
		if current == s.Old {
			next = s.New
		}
		switch {
		case s.Outcome == Unknown && next != current:
			return []any{current, next}
		case s.Outcome == Unknown || s.Succeeded == (current == s.Old):
			return []any{next}
		default:
			return nil
		}
	},
}).ToModel()
