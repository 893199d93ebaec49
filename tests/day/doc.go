// Package day simulates a day of a deployment. It runs the load of the deployment, injects failures
// and planned changes in an order that the seed determines, and judges the run. Service must recover
// within 15 s after each event. After the last event, the configuration is read back from all
// replicas. (DESIGN 14.5)
package day
