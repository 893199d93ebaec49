//go:build !race

package fleet

// raceDetector reports whether the tests, and so the programs, are built with the race detector.
const raceDetector = false
