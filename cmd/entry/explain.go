package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"basilmill/core/account"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/proxy"
	"basilmill/io/operator"
)

// explainedOperations holds the operations that can be explained, by their names.
var explainedOperations = map[string]exchange.Operation{
	"": exchange.Read, "read": exchange.Read, "write": exchange.Write, "begin": exchange.Begin, "begin-read": exchange.BeginRead,
}

// explainRoute answers an operator's question where a request would go now.
func (h *Host) explainRoute(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	operation, ok := explainedOperations[query.Get(operator.OperationParameter)]
	if !ok {
		http.Error(w, "the operation is none of read, write, begin and begin-read", http.StatusBadRequest)
		return
	}
	position, ok := parsePosition(query.Get(operator.PositionParameter))
	if !ok {
		http.Error(w, "the position is not of the form TERM.NUMBER", http.StatusBadRequest)
		return
	}
	q := proxy.Query{Database: query.Get(operator.DatabaseParameter), Account: account.ID(query.Get(operator.AccountParameter)), Operation: operation, Position: position}
	e, failure := h.proxy.Explain(q)
	if failure != nil {
		http.Error(w, failure.Text, http.StatusNotFound)
		return
	}
	// An error means that the operator no longer waits.
	_ = operator.WriteRoute(w, h.toRoute(q, e))
}

// parsePosition parses a position of the form TERM.NUMBER. The empty text is the zero
// position.
func parsePosition(text string) (p group.Position, ok bool) {
	if text == "" {
		return group.Position{}, true
	}
	term, number, _ := strings.Cut(text, ".")
	t, err := strconv.ParseInt(term, 10, 64)
	n, err2 := strconv.ParseInt(number, 10, 64)
	return group.Position{Term: group.Term(t), Offset: group.Offset(n)}, err == nil && err2 == nil
}

// toRoute returns the explanation as operators see it.
func (h *Host) toRoute(q proxy.Query, e proxy.Explanation) operator.RouteExplanation {
	out := operator.RouteExplanation{
		Host: string(h.settings.HostID), ConfigVersion: int64(e.ConfigVersion), Route: e.Route.Name, Group: string(e.Route.Group),
		Consistency: e.Route.Consistency.String(), Priority: e.Route.Priority, PrimaryKnown: e.PrimaryKnown, ProofAge: formatAge(e.ProofAge),
		Reason: e.Reason,
	}
	if !e.MinPosition.IsZero() {
		out.MinPosition, out.PositionAge = e.MinPosition.String(), formatAge(e.PositionAge)
	}
	if state, ok := h.limits.client.State(q.Account); ok && !state.Limit.Unlimited() {
		out.Limit = operator.RouteLimit{Limited: true, Rate: state.Limit.Rate, Burst: state.Limit.Burst, Held: state.Held, Waiting: state.Waiting, RetryAfter: formatAge(state.Wait)}
	}
	for _, c := range e.Candidates {
		out.Candidates = append(out.Candidates, operator.RouteCandidate{
			Server: string(c.Server.ID), DataCentre: string(c.Server.DataCentre), Primary: c.Primary, Leaving: c.Server.Leaving, Via: string(c.Via),
			Latency: formatAge(c.Known.Latency), InFlight: c.Known.InFlight, Slots: c.Known.Slots, StatedInUse: c.Known.Load.InUse, StatedWait: c.Known.Load.Waiting,
			StatedAge: formatAge(c.Known.Load.Age), Unanswered: formatAge(c.Known.Unanswered), ExpectedTime: formatAge(c.ExpectedTime), Share: c.Share, Reason: c.Reason,
		})
	}
	return out
}

// formatAge formats a duration, empty for zero.
func formatAge(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(100 * time.Microsecond).String()
}
