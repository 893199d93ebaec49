package routing

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"curlewwalk/internal/config"
)

// index finds ways by host and longest prefix. (DESIGN 4.1)
type index struct {
	// hosts has the groups of a folded host; "" is for whatever host.
	hosts map[string][]*hostRoutes
}

// hostRoutes is the ways of one host, as long as it was written.
type hostRoutes struct {
	hostLength    int
	prefixLengths []int                     // of its prefixes, the longest first
	routes        map[string][]config.Route // by prefix, those with methods first
}

// newIndex takes ways in the order in which they win.
func newIndex(routes []config.Route) index {
	x := index{hosts: map[string][]*hostRoutes{}}
	for _, route := range routes {
		key := foldCase(route.Host)
		list := x.hosts[key]
		// The order has the longer hosts first, and of each the longer prefixes.
		if len(list) == 0 || list[len(list)-1].hostLength != len(route.Host) {
			list = append(list, &hostRoutes{hostLength: len(route.Host), routes: map[string][]config.Route{}})
			x.hosts[key] = list
		}
		g := list[len(list)-1]
		if n := len(g.prefixLengths); n == 0 || g.prefixLengths[n-1] != len(route.Prefix) {
			g.prefixLengths = append(g.prefixLengths, len(route.Prefix))
		}
		g.routes[route.Prefix] = append(g.routes[route.Prefix], route)
	}
	return x
}

func (x *index) match(host, path, method string) *config.Route {
	for _, key := range [2]string{foldCase(host), ""} {
		for _, g := range x.hosts[key] {
			if w := g.match(path, method); w != nil {
				return w
			}
		}
	}
	return nil
}

func (g *hostRoutes) match(path, method string) *config.Route {
	for _, n := range g.prefixLengths {
		if n > len(path) {
			continue
		}
		list := g.routes[path[:n]]
		for i := range list {
			if w := &list[i]; len(w.Methods) == 0 || slices.Contains(w.Methods, method) {
				return w
			}
		}
	}
	return nil
}

// foldCase is the same for texts that strings.EqualFold holds equal, and for no
// others.
func foldCase(s string) string {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return strings.Map(canonicalRune, s)
		}
	}
	return strings.ToLower(s)
}

// canonicalRune is the letter that stands for a rune and all that fold to it: the small
// one for those of ASCII.
func canonicalRune(r rune) rune {
	low := r
	for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
		low = min(low, next)
	}
	if 'A' <= low && low <= 'Z' {
		low += 'a' - 'A'
	}
	return low
}
