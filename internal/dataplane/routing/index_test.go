package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"curlewwalk/internal/config"
)

// matchLinearly looks through all ways, in the order in which they win.
func matchLinearly(t *Table, host, path, method string) (config.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, w := range t.routes {
		if (w.Host == "" || strings.EqualFold(w.Host, host)) && strings.HasPrefix(path, w.Prefix) &&
			(len(w.Methods) == 0 || slices.Contains(w.Methods, method)) {
			return w, true
		}
	}
	return config.Route{}, false
}

// newTable builds a table of ways under one contract.
func newTable(t testing.TB, routes []config.Route) *Table {
	configuration := config.Configuration{Routes: routes}
	if err := json.Unmarshal([]byte(`{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`), &configuration); err != nil {
		t.Fatal(err)
	}
	table, ok := NewTable(config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: configuration.Bytes()})
	if !ok {
		t.Fatalf("no table of %s", configuration.Bytes())
	}
	return table
}

// The index finds what looking through all ways finds, whatever the ways.
func TestIndex(t *testing.T) {
	hosts := []string{"", "", "a.example", "A.example", "b.example", "kelvin", "\u212aelvin", "straße", "STRAßE", "\u017fss", "SSS"}
	parts := []string{"", "/", "a", "b", "/a", "/a/", "/b/c", "ä"}
	methods := []string{"GET", "POST", "PUT"}
	one := func(rng *rand.Rand, from []string) string { return from[rng.IntN(len(from))] }
	found, missed := 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		type key struct{ host, prefix, method string }
		var routes []config.Route
		taken := map[key]bool{}
		for i := range 1 + rng.IntN(40) {
			w := config.Route{Name: fmt.Sprint("w", i), Host: one(rng, hosts), Prefix: "/" + one(rng, parts) + one(rng, parts), Service: "s", Contract: "c"}
			for _, m := range methods {
				if rng.IntN(4) == 0 {
					w.Methods = append(w.Methods, m)
				}
			}
			keys := []key{}
			for _, m := range append([]string{}, w.Methods...) {
				keys = append(keys, key{w.Host, w.Prefix, m})
			}
			if len(keys) == 0 {
				keys = []key{{w.Host, w.Prefix, "*"}}
			}
			if slices.ContainsFunc(keys, func(k key) bool { return taken[k] }) {
				continue
			}
			for _, k := range keys {
				taken[k] = true
			}
			routes = append(routes, w)
		}
		table := newTable(t, routes)
		for range 200 {
			host, path, method := one(rng, hosts), "/"+one(rng, parts)+one(rng, parts)+one(rng, parts), one(rng, methods)
			switch rng.IntN(4) {
			case 0:
				host = strings.ToUpper(host)
			case 1:
				host += ":80"
			case 2:
				path = one(rng, []string{"", "*", path})
			}
			want, wantOK := matchLinearly(table, host, path, method)
			got, _, ok := table.Match(host, path, method)
			if d := cmp.Diff(want, got, cmpopts.IgnoreUnexported(config.UnknownFields{})); ok != wantOK || d != "" {
				t.Fatalf("seed %d: %s %q %q: %s", seed, method, host, path, d)
			}
			if ok {
				found++
			} else {
				missed++
			}
		}
	}
	if found < 1000 || missed < 1000 {
		t.Errorf("%d found, %d not", found, missed)
	}
}

// Folded texts are equal just where strings.EqualFold says so.
func TestFold(t *testing.T) {
	texts := []string{"", "a", "A", "k", "K", "\u212a", "s", "S", "\u017f", "ß", "ẞ", "ss", "σ", "ς", "Σ", "\xff", "\xfe", "\ufffd", "é", "É", "e\u0301", "ǅ", "ǆ", "Ǆ"}
	for _, a := range texts {
		for _, b := range texts {
			if got, want := foldCase("x"+a) == foldCase("x"+b), strings.EqualFold("x"+a, "x"+b); got != want {
				t.Errorf("%q and %q: %v", a, b, got)
			}
		}
	}
}

// BenchmarkMatch finds ways among many.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{30, 310, 3000} {
		for _, hosts := range []int{1, 50} {
			var routes []config.Route
			for i := range n {
				routes = append(routes, config.Route{Name: fmt.Sprint("w", i), Host: fmt.Sprintf("host-%d.example", i%hosts), Prefix: fmt.Sprintf("/part-%d/of/it", i), Service: "s", Contract: "c"})
			}
			table := newTable(b, routes)
			b.Run(fmt.Sprintf("%d ways of %d hosts", n, hosts), func(b *testing.B) {
				for i := range b.N {
					w := &routes[i%n]
					if got, _, ok := table.Match(w.Host, w.Prefix+"/and/more", "GET"); !ok || got.Name != w.Name {
						b.Fatal(got.Name)
					}
				}
			})
		}
	}
}

// BenchmarkNewTable makes the table of a word, reading included.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{310, 3000} {
		configuration := config.Configuration{}
		if err := json.Unmarshal([]byte(`{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`), &configuration); err != nil {
			b.Fatal(err)
		}
		for i := range n {
			configuration.Routes = append(configuration.Routes, config.Route{Name: fmt.Sprint("w", i), Host: fmt.Sprintf("host-%d.example", i%50), Prefix: fmt.Sprintf("/part-%d/of/it", i), Service: "s", Contract: "c"})
		}
		state := config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: configuration.Bytes()}
		b.Run(fmt.Sprintf("%d ways", n), func(b *testing.B) {
			for range b.N {
				if _, ok := NewTable(state); !ok {
					b.Fatal("no table")
				}
			}
		})
	}
}
