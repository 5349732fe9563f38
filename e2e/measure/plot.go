package measure

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Curve is a named curve of a plot.
type Curve struct {
	Name string
	X, Y []float64
}

// cumulativeDistribution returns the cumulative distribution of a sample, with the
// durations in milliseconds.
func cumulativeDistribution(name string, s Sample) Curve {
	c := Curve{Name: name}
	for i, d := range slices.Sorted(slices.Values(s)) {
		c.X = append(c.X, float64(milliseconds(d)))
		c.Y = append(c.Y, float64(i+1)/float64(len(s)))
	}
	return c
}

// plot writes an SVG file and returns its path relative to the report's directory.
func (r *Report) plot(t testing.TB, name, title, x, y string, curves []Curve) string {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	for i, c := range curves {
		points := make(plotter.XYs, len(c.X))
		for j := range c.X {
			points[j] = plotter.XY{X: c.X[j], Y: c.Y[j]}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			t.Error(err)
			return ""
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/4)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	path := filepath.Join("plots", name+".svg")
	if err := os.MkdirAll(filepath.Join(r.Directory, "plots"), 0o755); err != nil {
		t.Error(err)
		return ""
	}
	if err := p.Save(10*vg.Inch, 6*vg.Inch, filepath.Join(r.Directory, path)); err != nil {
		t.Error(err)
		return ""
	}
	return path
}

// sortByX returns the curve with its points ordered by x.
func sortByX(c Curve) Curve {
	order := make([]int, len(c.X))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(c.X[a], c.X[b]) })
	out := Curve{Name: c.Name}
	for _, i := range order {
		out.X, out.Y = append(out.X, c.X[i]), append(out.Y, c.Y[i])
	}
	return out
}
