//go:build !faultinjection

package storage

// diskFault returns nil: disk faults are injected only in builds with the faultinjection tag.
func diskFault() func() error { return nil }
