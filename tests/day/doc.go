// Package day runs a day of a deployment: its load, failures in seeded order, one last fault,
// and a verdict. After each failure service must return within 15 s. (DESIGN 14.5)
package day
