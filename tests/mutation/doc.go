// Package mutation is a catalogue of deliberate defects (mutations), each with the test that
// must fail because of it. It shows that the tests find what they are meant to find.
//
// The tests of this package check that each mutation still applies and builds; the command
// tests/cmd/mutation applies them one by one to scratch copies of the tree and runs their
// tests. (DESIGN 14.6)
package mutation
