package scale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at a size.
type Point struct{ X, Y float64 }

// Slope is a straight line through points, with its spread.
type Slope struct {
	// At0 and Each are the line; Spread is the standard error of Each.
	At0, Each, Spread float64
	// Power is the exponent of the power law through the same points: about 1 where a
	// line fits, about 2 for a square. It is 0 where a value is not positive.
	Power float64
	N     int
}

// String is the slope as text.
func (s Slope) String() string {
	return fmt.Sprintf("%.4g + %.4g (± %.2g) x, power %.2f", s.At0, s.Each, s.Spread, s.Power)
}

// At is the line's value at x.
func (s Slope) At(x float64) float64 { return s.At0 + s.Each*x }

// Fit lays a line through points by least squares; false with fewer than three sizes.
func Fit(points []Point) (Slope, bool) {
	sizes := map[float64]bool{}
	var xs, ys, lx, ly []float64
	for _, p := range points {
		sizes[p.X] = true
		xs, ys = append(xs, p.X), append(ys, p.Y)
		if p.X > 0 && p.Y > 0 {
			lx, ly = append(lx, math.Log(p.X)), append(ly, math.Log(p.Y))
		}
	}
	if len(sizes) < 3 {
		return Slope{}, false
	}
	s := Slope{N: len(points)}
	s.At0, s.Each = stat.LinearRegression(xs, ys, nil, false)
	var left, wide float64
	mean := stat.Mean(xs, nil)
	for i := range xs {
		left += math.Pow(ys[i]-s.At(xs[i]), 2)
		wide += math.Pow(xs[i]-mean, 2)
	}
	s.Spread = math.Sqrt(left / float64(len(xs)-2) / wide)
	if len(lx) == len(xs) {
		_, s.Power = stat.LinearRegression(lx, ly, nil, false)
	}
	return s, true
}

// Series is one measured thing over sizes, all else equal.
type Series struct {
	Version, Phase, Thing string
	// Along is what varies; Fixed says what the rest is.
	Along, Fixed string
	Points       []Point
}

// axes are what sizes can vary along.
var axes = []struct {
	name  string
	x     func(Line) float64
	fixed func(Line) string
}{
	{"sidecars", func(l Line) float64 { return float64(l.Sidecars) }, func(l Line) string { return fmt.Sprintf("%d cores, %d services", l.Cores, l.Services) }},
	{"cores", func(l Line) float64 { return float64(l.Cores) }, func(l Line) string { return fmt.Sprintf("%d sidecars, %d services", l.Sidecars, l.Services) }},
	{"services", func(l Line) float64 { return float64(l.Services) }, func(l Line) string { return fmt.Sprintf("%d sidecars, %d cores", l.Sidecars, l.Cores) }},
}

// things are what a line measures, by name.
func (l Line) things() map[string]float64 {
	out := map[string]float64{}
	if l.Usage != nil && l.Role != "hollow" {
		maps.Copy(out, map[string]float64{"processor (share of a core)": l.Usage.Processor, "resident MiB": l.Usage.Resident / (1 << 20), "heap MiB": l.Usage.Heap / (1 << 20), "descriptors": l.Usage.Descriptors, "goroutines": l.Usage.Goroutines})
	}
	if len(l.Net)+len(l.Host) > 0 {
		maps.Copy(out, map[string]float64{"bytes in a second": l.in(), "bytes out a second": l.out(), "messages a second": l.messages()})
	}
	if l.Times != nil {
		maps.Copy(out, map[string]float64{l.What + ", half (ms)": l.Times.Half, l.What + ", all (ms)": l.Times.Max})
	}
	for name, v := range l.Values {
		out[l.What+": "+name] = v
	}
	named := map[string]float64{}
	for name, v := range out {
		if l.Role != "" {
			name = l.Role + ": " + name
		}
		named[name] = v
	}
	return named
}

// SeriesOf sorts results into series of at least three sizes.
func SeriesOf(lines []Line) (out []Series) {
	for _, axis := range axes {
		byKey := map[string]*Series{}
		for _, l := range lines {
			for thing, y := range l.things() {
				key := fmt.Sprint(l.Version, "\x00", l.Phase, "\x00", thing, "\x00", axis.fixed(l))
				if byKey[key] == nil {
					byKey[key] = &Series{Version: l.Version, Phase: l.Phase, Thing: thing, Along: axis.name, Fixed: axis.fixed(l)}
				}
				byKey[key].Points = append(byKey[key].Points, Point{axis.x(l), y})
			}
		}
		for _, key := range slices.Sorted(maps.Keys(byKey)) {
			s := byKey[key]
			slices.SortStableFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
			if _, ok := Fit(s.Points); ok {
				out = append(out, *s)
			}
		}
	}
	return out
}
