package ratelimit

import (
	"math"
)

const (
	// partsPerLimit is the number of parts of each limit. It is the number of data centres
	// of the deployments with accounts, so that most draws stay within one. The loss of a
	// part leaves 5/6 of the limit and that of a region with two data centres 2/3; the usual
	// rate is 1/1.6. It is the same for all limits, so that a change of a limit changes no
	// coordinators.
	partsPerLimit = 6
)

// Division is how the limit of an account is divided into equal parts. All hosts compute
// the same division from the same configuration and settings.
type Division struct {
	// Parts is the number of parts; zero if nothing is admitted.
	Parts int
	// Rate and Burst are those of each part.
	Rate, Burst float64
	// Start is the number of tokens that a part has at most once in a Window when its host
	// has started again.
	Start float64
}

// startShare is the share of what the overage and the slack leave that is used for
// Division.Start; the rest raises the rate of the parts.
const startShare = 0.75

// Divide divides a limit so that Rate × (Window + AheadTTL) + Burst + Start of a part
// does not exceed a part of what the rule allows. Operations that are sent in a window and
// reach a server in it have tokens that were taken in the window or at most AheadTTL before,
// so that the rule holds whichever hosts reach which parts, however long operations wait for
// a connection, with one start of each part in a window, and for the higher limit while only
// some hosts know of a change.
//
// The rates of the parts add up to that of the limit at least. Parts hand out whole tokens
// only, so that each has one more than its part of the burst. What the overage and the slack
// leave is shared between Start, which is at most the burst of the part, and the rate: a
// part of a small limit would have its next token after many seconds otherwise.
func Divide(l Limit, r Rule) Division {
	if l.Rate <= 0 || l.Unlimited() {
		return Division{}
	}
	allowed := r.Allowed(l)
	window := (r.Window + AheadTTL).Seconds()
	share := min(1, allowed/l.tokens(r.Window+AheadTTL))
	for parts := partsPerLimit; parts > 0; parts-- {
		n := float64(parts)
		perPart := allowed / n
		least := max(share*l.Burst/n, 1)
		rate := min(share*l.Rate/n, (perPart-least)/window)
		burst := min(max(l.Burst/n+1, least), perPart-rate*window)
		room := perPart - rate*window - burst
		start := max(min(startShare*room, burst), 0)
		rate = min(rate+(room-start)/window, l.Rate)
		burst = max(perPart-rate*window-start, least)
		if rate > 0 {
			return Division{Parts: parts, Rate: rate, Burst: burst, Start: start}
		}
	}
	return Division{}
}

// maxTokens is the largest number of tokens that a part can hand out at once.
func (d Division) maxTokens() int { return int(math.Floor(d.Burst)) }

// of returns the division for a host that holds several parts.
func (d Division) of(parts int) Division {
	d.Rate *= float64(parts)
	d.Burst *= float64(parts)
	d.Start *= float64(parts)
	return d
}
