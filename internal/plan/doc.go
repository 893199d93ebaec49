// Package plan computes the impact of a change before the change is made. It covers the capacity of
// services by zone, the contracts at risk, the control plane nodes that sidecars watch, and the
// control plane nodes that collect traces. Package plan itself changes nothing. (DESIGN 16)
package plan
