package measure

import (
	"math"
	"slices"
	"time"
)

// Sample is a set of durations.
type Sample []time.Duration

// Quantile returns the smallest duration of the sample that is not exceeded by at
// least the share q of the sample, or zero for an empty sample.
func (s Sample) Quantile(q float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// summary returns the median, the 99th percentile and the maximum in
// milliseconds.
func (s Sample) summary() []Value {
	if len(s) == 0 {
		return []Value{NoValue(), NoValue(), NoValue()}
	}
	return []Value{milliseconds(s.Quantile(0.5)), milliseconds(s.Quantile(0.99)), milliseconds(s.Quantile(1))}
}

// summaryColumns returns the columns of the values that summary returns.
func summaryColumns(prefix string) []Column {
	return []Column{{prefix + "median", "ms", 1}, {prefix + "p99", "ms", 1}, {prefix + "max", "ms", 1}}
}

func milliseconds(d time.Duration) Value { return Value(d.Seconds() * 1000) }

// ratio returns a/b, or NoValue if b is zero.
func ratio(a, b float64) Value {
	if b == 0 {
		return NoValue()
	}
	return Value(a / b)
}

// Line is a straight line through data points.
type Line struct{ Intercept, Slope float64 }

// Fit returns the least-squares line through the points.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}
}
