//go:build !faultinjection

package storage

// diskFault is nil: only builds for tests have disk faults injected.
func diskFault() func() error { return nil }
