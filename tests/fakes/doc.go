// Package fakes has the clients and backends of test fleets. They keep records of their own,
// in package ledger, and pass on no trace identifiers, as ordinary programs that know nothing
// of the system.
package fakes
