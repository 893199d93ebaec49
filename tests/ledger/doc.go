// Package ledger stores the records that the fake clients and backends make during a test run
// and checks them against the safety rules. The checks use only these records, never what
// the system under test reports about itself. (DESIGN 14.2)
package ledger
