// Package mutation is a catalogue of deliberate defects (mutations). Each names the test that must
// fail because of it. This shows that the tests detect the faults that they guard against.
//
// The tests of this package check that each mutation still applies and builds. The command
// tests/cmd/mutation applies the mutations one by one to scratch copies of the tree and runs their
// tests. (DESIGN 14.6)
package mutation
