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
	hosts map[string][]*group
}

// group is the ways of one host, as long as it was written.
type group struct {
	host    int
	lengths []int                     // of its prefixes, the longest first
	routes  map[string][]config.Route // by prefix, those with methods first
}

// newIndex takes ways in the order in which they win.
func newIndex(routes []config.Route) index {
	x := index{hosts: map[string][]*group{}}
	for _, w := range routes {
		key := fold(w.Host)
		list := x.hosts[key]
		// The order has the longer hosts first, and of each the longer prefixes.
		if len(list) == 0 || list[len(list)-1].host != len(w.Host) {
			list = append(list, &group{host: len(w.Host), routes: map[string][]config.Route{}})
			x.hosts[key] = list
		}
		g := list[len(list)-1]
		if n := len(g.lengths); n == 0 || g.lengths[n-1] != len(w.Prefix) {
			g.lengths = append(g.lengths, len(w.Prefix))
		}
		g.routes[w.Prefix] = append(g.routes[w.Prefix], w)
	}
	return x
}

func (x *index) find(host, path, method string) *config.Route {
	for _, key := range [2]string{fold(host), ""} {
		for _, g := range x.hosts[key] {
			if w := g.find(path, method); w != nil {
				return w
			}
		}
	}
	return nil
}

func (g *group) find(path, method string) *config.Route {
	for _, n := range g.lengths {
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

// fold is the same for texts that strings.EqualFold holds equal, and for no
// others.
func fold(s string) string {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return strings.Map(least, s)
		}
	}
	return strings.ToLower(s)
}

// least is the letter that stands for a rune and all that fold to it: the small
// one for those of ASCII.
func least(r rune) rune {
	low := r
	for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
		low = min(low, next)
	}
	if 'A' <= low && low <= 'Z' {
		low += 'a' - 'A'
	}
	return low
}
