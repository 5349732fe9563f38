package catalog

import "math"

// MeanRate returns the mean rate limit of the accounts that have one, and 1 if none has.
func (a *Accounts) MeanRate() float64 {
	sum, n := 0.0, 0
	for _, one := range a.byID {
		if one.Rate > 0 && !math.IsInf(one.Rate, 1) {
			sum += one.Rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
