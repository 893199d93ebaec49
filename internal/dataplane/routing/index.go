package routing

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"curlewwalk/internal/config"
)

// index finds routes by host and longest prefix. (DESIGN 4.1)
type index struct {
	// hosts is by case-folded host; the routes of "" are for any host.
	hosts map[string][]*hostRoutes
}

// hostRoutes is the routes of one host. Hosts that are equal when folded may be written with
// different lengths; each length has its own.
type hostRoutes struct {
	hostLength int
	// prefixLengths has the lengths of its prefixes, the longest first.
	prefixLengths []int
	// routes is by prefix; of one prefix, those with methods stand first.
	routes map[string][]config.Route
}

// newIndex indexes routes that are in order of precedence.
func newIndex(routes []config.Route) index {
	x := index{hosts: map[string][]*hostRoutes{}}
	for _, route := range routes {
		key := foldCase(route.Host)
		list := x.hosts[key]
		// Longer hosts come first, and of each host the longer prefixes.
		if len(list) == 0 || list[len(list)-1].hostLength != len(route.Host) {
			list = append(list, &hostRoutes{hostLength: len(route.Host), routes: map[string][]config.Route{}})
			x.hosts[key] = list
		}
		last := list[len(list)-1]
		if n := len(last.prefixLengths); n == 0 || last.prefixLengths[n-1] != len(route.Prefix) {
			last.prefixLengths = append(last.prefixLengths, len(route.Prefix))
		}
		last.routes[route.Prefix] = append(last.routes[route.Prefix], route)
	}
	return x
}

// match finds the route of a request; nil if there is none. Routes of its host go before those
// for any host.
func (x *index) match(host, path, method string) *config.Route {
	for _, key := range [2]string{foldCase(host), ""} {
		for _, routesOfHost := range x.hosts[key] {
			if route := routesOfHost.match(path, method); route != nil {
				return route
			}
		}
	}
	return nil
}

// match finds the route with the longest prefix of path that takes the method; nil if there is
// none.
func (h *hostRoutes) match(path, method string) *config.Route {
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		list := h.routes[path[:n]]
		for i := range list {
			if route := &list[i]; len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
				return route
			}
		}
	}
	return nil
}

// foldCase maps two strings to the same one if and only if strings.EqualFold holds them equal.
func foldCase(s string) string {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return strings.Map(canonicalRune, s)
		}
	}
	return strings.ToLower(s)
}

// canonicalRune returns the rune that stands for a rune and all that fold to it: the lower-case one
// for those of ASCII, else the one with the lowest code point.
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
