// Package plan works out what a change would affect before it is made, and changes nothing: the
// capacity of services by zone, the contracts at risk, and which control plane node sidecars watch
// and traces go to. (DESIGN 16)
package plan
