package scale

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report writes report.md and its plots into a folder, from whatever results there are.
func (r *Run) Report(dir string, ended string) error {
	var b bytes.Buffer
	say := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	say("# A scale run\n\n%s. Every result is a line of `results.jsonl`; rates are for one node.\n", ended)
	if faults := r.Faults(); len(faults) > 0 {
		say("## Faults\n")
		for _, f := range faults {
			say("- %s", f)
		}
		say("")
	}
	r.roles(say)
	r.kinds(say)
	r.reach(say)
	r.valued(say)
	series := SeriesOf(r.Lines)
	if len(series) > 0 {
		say("## Slopes\n\nA straight line by least squares, with the standard error of its slope; the power is that of the power law through the same points.\n")
		say("| phase | what | along | the rest | version | at 0 | each | ± | power | points |\n|---|---|---|---|---|---|---|---|---|---|")
		for _, s := range series {
			f, _ := Fit(s.Points)
			say("| %s | %s | %s | %s | %s | %.4g | %.4g | %.2g | %.2f | %d |", s.Phase, s.Thing, s.Along, s.Fixed, s.Version, f.At0, f.Each, f.Spread, f.Power, f.N)
		}
		say("")
	}
	names, err := plots(dir, series)
	if err != nil {
		return err
	}
	if len(names) > 0 {
		say("## Plots\n")
		for _, n := range names {
			say("![%s](%s)", strings.TrimSuffix(n, ".svg"), n)
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.md"), b.Bytes(), 0o640)
}

func (r *Run) roles(say func(string, ...any)) {
	say("## Roles\n\n| phase | sidecars | cores | services | version | role | nodes | s | messages/s | bytes in/s | bytes out/s | processor | resident MiB | descriptors |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range r.Lines {
		if l.Role == "" || l.Usage == nil {
			continue
		}
		own := fmt.Sprintf("%.2f%% | %.1f | %.0f", 100*l.Usage.Processor, l.Usage.Resident/(1<<20), l.Usage.Descriptors)
		if l.Role == "hollow" {
			own = "| |" // what a shoal uses is not what one node does
		}
		say("| %s | %d | %d | %d | %s | %s | %d | %.1f | %.1f | %.0f | %.0f | %s |", l.Phase, l.Sidecars, l.Cores, l.Services, l.Version, l.Role, l.Nodes, l.Seconds, l.messages(), l.in(), l.out(), own)
	}
	say("")
}

func (r *Run) kinds(say func(string, ...any)) {
	say("## By kind, at rest\n\n| sidecars | cores | role | side | kind | calls/s | bytes of calls/s | receipts/s | bytes of receipts/s |\n|---|---|---|---|---|---|---|---|---|")
	for _, l := range r.Lines {
		if l.Role == "" || l.Phase != "rest" {
			continue
		}
		for _, side := range []struct {
			name string
			of   map[string]Rate
		}{{"calls", l.Net}, {"answers", l.Host}} {
			for _, kind := range slices.Sorted(maps.Keys(side.of)) {
				k := side.of[kind]
				say("| %d | %d | %s | %s | %s | %.2f | %.0f | %.2f | %.0f |", l.Sidecars, l.Cores, l.Role, side.name, kind, k.Calls, k.CallBytes, k.Responses, k.ResponseBytes)
			}
		}
	}
	say("")
}

func (r *Run) reach(say func(string, ...any)) {
	say("## Until known everywhere (ms)\n\n| phase | what | sidecars | cores | services | version | noted | of | half | 95%% | 99%% | all |\n|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range r.Lines {
		if t := l.Times; t != nil {
			say("| %s | %s | %d | %d | %d | %s | %d | %d | %.1f | %.1f | %.1f | %.1f |", l.Phase, l.What, l.Sidecars, l.Cores, l.Services, l.Version, t.Count, t.Of, t.Half, t.Most, t.Last, t.Max)
		}
	}
	say("")
}

func (r *Run) valued(say func(string, ...any)) {
	say("## Values\n\n| phase | sidecars | cores | services | version | what | value |\n|---|---|---|---|---|---|---|")
	for _, l := range r.Lines {
		for _, name := range slices.Sorted(maps.Keys(l.Values)) {
			say("| %s | %d | %d | %d | %s | %s | %.6g |", l.Phase, l.Sidecars, l.Cores, l.Services, l.Version, strings.TrimSpace(l.Role+" "+l.What+": "+name), l.Values[name])
		}
	}
	say("")
}

// plotted are the things that have a plot, one line for each role.
var plotted = []string{"bytes in a second", "bytes out a second", "messages a second", "processor (share of a core)", "resident MiB", "descriptors"}

// plots draws what grows with the number of sidecars.
func plots(dir string, series []Series) (names []string, err error) {
	groups := map[string][]Series{}
	for _, s := range series {
		role, thing, ok := strings.Cut(s.Thing, ": ")
		switch {
		case s.Along != "sidecars":
		case ok && s.Phase == "rest" && slices.Contains(plotted, thing):
			s.Thing = role + ", " + s.Fixed + ", " + s.Version
			groups[s.Phase+" "+thing] = append(groups[s.Phase+" "+thing], s)
		case strings.HasSuffix(s.Thing, "(ms)"):
			s.Thing += ", " + s.Fixed + ", " + s.Version
			groups[s.Phase+" until known (ms)"] = append(groups[s.Phase+" until known (ms)"], s)
		case s.Phase == "parts" && strings.HasSuffix(s.Thing, "_ms"):
			groups["parts (ms)"] = append(groups["parts (ms)"], s)
		}
	}
	for _, title := range slices.Sorted(maps.Keys(groups)) {
		all := groups[title]
		slices.SortFunc(all, func(a, b Series) int { return cmp.Compare(a.Thing, b.Thing) })
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Min = title, "sidecars", 0
		p.Legend.Top, p.Legend.Left = true, true
		var lines []any
		for _, s := range all {
			xys := make(plotter.XYs, len(s.Points))
			for i, at := range s.Points {
				xys[i] = plotter.XY{X: at.X, Y: at.Y}
			}
			lines = append(lines, s.Thing, xys)
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return names, err
		}
		name := strings.Map(func(c rune) rune {
			if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' {
				return c
			}
			return '-'
		}, title) + ".svg"
		if err := p.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, name)); err != nil {
			return names, err
		}
		names = append(names, name)
	}
	return names, nil
}
