//go:build !proof

package storage

// trouble is none outside of proofs.
func trouble() func() error { return nil }
