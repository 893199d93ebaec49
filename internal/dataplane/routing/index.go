package routing

import (
	"slices"

	"curlewwalk/internal/config"
)

// index finds routes by host and longest prefix. (DESIGN 4.1)
type index struct {
	// hosts maps case-folded hosts to their routes. The key "" holds the routes for any host.
	hosts map[string][]*hostRoutes
}

// hostRoutes holds the routes of one host. Hosts that are equal after case folding may have
// different lengths; each length has a hostRoutes of its own.
type hostRoutes struct {
	hostLength int
	// prefixLengths holds the lengths of the prefixes in descending order.
	prefixLengths []int
	// routes maps each prefix to its routes. Routes with methods precede routes without.
	routes map[string][]config.Route
}

// newIndex returns an index of routes that are sorted by precedence.
func newIndex(routes []config.Route) index {
	x := index{hosts: map[string][]*hostRoutes{}}
	for _, route := range routes {
		key := config.FoldHost(route.Host)
		list := x.hosts[key]
		// Longer hosts come first. Within a host, longer prefixes come first.
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

// match returns the route of a request, or nil if no route matches. Routes of its host take
// precedence over routes for any host.
func (x *index) match(host, path, method string) *config.Route {
	for _, key := range [2]string{config.FoldHost(host), ""} {
		for _, routesOfHost := range x.hosts[key] {
			if route := routesOfHost.match(path, method); route != nil {
				return route
			}
		}
	}
	return nil
}

// match returns the route that accepts the method and has the longest prefix of path, or nil if no
// route matches.
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
