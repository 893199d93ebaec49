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

// matchLinearly finds a route by checking all routes in order of precedence.
func matchLinearly(t *Table, host, path, method string) (config.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, route := range t.routes {
		if (route.Host == "" || strings.EqualFold(route.Host, host)) && strings.HasPrefix(path, route.Prefix) &&
			(len(route.Methods) == 0 || slices.Contains(route.Methods, method)) {
			return route, true
		}
	}
	return config.Route{}, false
}

// newRoutesTable returns a table of routes under one contract.
func newRoutesTable(t testing.TB, routes []config.Route) *Table {
	t.Helper()
	return mustTable(t, newRoutesConfiguration(t, routes))
}

// newRoutesConfiguration returns the encoded configuration of routes under one contract.
func newRoutesConfiguration(t testing.TB, routes []config.Route) []byte {
	t.Helper()
	configuration := config.Configuration{Routes: routes}
	if err := json.Unmarshal([]byte(`{"contracts":[{"name":"c","aim":"1s","expiry":"2s","rank":1}]}`), &configuration); err != nil {
		t.Fatal(err)
	}
	return configuration.Bytes()
}

// The hosts, path segments and methods of random routes and requests.
var (
	indexHosts   = []string{"", "", "a.example", "A.example", "b.example", "kelvin", "\u212aelvin", "straße", "STRAßE", "\u017fss", "SSS"}
	indexParts   = []string{"", "/", "a", "b", "/a", "/a/", "/b/c", "ä"}
	indexMethods = []string{"GET", "POST", "PUT"}
)

// pickString returns a random element.
func pickString(rng *rand.Rand, from []string) string { return from[rng.IntN(len(from))] }

// randomRoutes returns up to 40 routes, no two of which have the same host, prefix and method.
func randomRoutes(rng *rand.Rand) (routes []config.Route) {
	type key struct{ host, prefix, method string }
	taken := map[key]bool{}
	for i := range 1 + rng.IntN(40) {
		route := config.Route{Name: fmt.Sprint("w", i), Host: pickString(rng, indexHosts), Prefix: "/" + pickString(rng, indexParts) + pickString(rng, indexParts), Service: "s", Contract: "c"}
		for _, method := range indexMethods {
			if rng.IntN(4) == 0 {
				route.Methods = append(route.Methods, method)
			}
		}
		keys := []key{}
		for _, method := range route.Methods {
			keys = append(keys, key{route.Host, route.Prefix, method})
		}
		if len(keys) == 0 {
			keys = []key{{route.Host, route.Prefix, "*"}}
		}
		if slices.ContainsFunc(keys, func(k key) bool { return taken[k] }) {
			continue
		}
		for _, k := range keys {
			taken[k] = true
		}
		routes = append(routes, route)
	}
	return routes
}

// randomRequest returns a request that may match random routes.
func randomRequest(rng *rand.Rand) (host, path, method string) {
	host, path, method = pickString(rng, indexHosts), "/"+pickString(rng, indexParts)+pickString(rng, indexParts)+pickString(rng, indexParts), pickString(rng, indexMethods)
	switch rng.IntN(4) {
	case 0:
		host = strings.ToUpper(host)
	case 1:
		host += ":80"
	case 2:
		path = pickString(rng, []string{"", "*", path})
	}
	return host, path, method
}

// TestIndexAgreesWithLinearSearch checks, for random routes and requests, that the index finds the
// same route as a linear search.
func TestIndexAgreesWithLinearSearch(t *testing.T) {
	found, missed := 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		table := newRoutesTable(t, randomRoutes(rng))
		for range 200 {
			host, path, method := randomRequest(rng)
			want, wantOK := matchLinearly(table, host, path, method)
			got, _, ok := table.Match(host, path, method)
			if d := cmp.Diff(want, got, cmpopts.IgnoreUnexported(config.UnknownFields{})); ok != wantOK || d != "" {
				t.Fatalf("seed %d: %s %q %q: route differs from that of the linear search (-want +got): %s", seed, method, host, path, d)
			}
			if ok {
				found++
			} else {
				missed++
			}
		}
	}
	t.Logf("%d requests matched, %d did not", found, missed)
	if found < 1000 || missed < 1000 {
		t.Error("want at least 1000 requests that match and 1000 that do not")
	}
}

// TestFoldCaseAgreesWithEqualFold checks that two strings are equal after folding if and only if
// strings.EqualFold reports them as equal.
func TestFoldCaseAgreesWithEqualFold(t *testing.T) {
	texts := []string{"", "a", "A", "k", "K", "\u212a", "s", "S", "\u017f", "ß", "ẞ", "ss", "σ", "ς", "Σ", "\xff", "\xfe", "\ufffd", "é", "É", "e\u0301", "ǅ", "ǆ", "Ǆ"}
	for _, a := range texts {
		for _, b := range texts {
			if got, want := config.FoldHost("x"+a) == config.FoldHost("x"+b), strings.EqualFold("x"+a, "x"+b); got != want {
				t.Errorf("%q and %q: got equal = %v, which differs from strings.EqualFold", a, b, got)
			}
		}
	}
}

// benchmarkRoutes returns n routes spread over the given number of hosts.
func benchmarkRoutes(n, hosts int) (routes []config.Route) {
	for i := range n {
		routes = append(routes, config.Route{Name: fmt.Sprint("w", i), Host: fmt.Sprintf("host-%d.example", i%hosts), Prefix: fmt.Sprintf("/part-%d/of/it", i), Service: "s", Contract: "c"})
	}
	return routes
}

// BenchmarkMatch measures the matching of requests against different numbers of routes and hosts.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{30, 310, 3000} {
		for _, hosts := range []int{1, 50} {
			routes := benchmarkRoutes(n, hosts)
			table := newRoutesTable(b, routes)
			b.Run(fmt.Sprintf("%d routes of %d hosts", n, hosts), func(b *testing.B) {
				for i := range b.N {
					want := &routes[i%n]
					if got, _, ok := table.Match(want.Host, want.Prefix+"/and/more", "GET"); !ok || got.Name != want.Name {
						b.Fatal(got.Name)
					}
				}
			})
		}
	}
}

// BenchmarkNewTable measures NewTable, including the parsing of the configuration.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{310, 3000} {
		configuration := newRoutesConfiguration(b, benchmarkRoutes(n, 50))
		state := config.ControlState{Revision: 1, ConfigurationRevision: 1, Configuration: configuration}
		b.Run(fmt.Sprintf("%d routes", n), func(b *testing.B) {
			for range b.N {
				if _, ok := NewTable(state); !ok {
					b.Fatal("NewTable rejected the configuration")
				}
			}
		})
	}
}
