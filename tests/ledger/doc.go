// Package ledger keeps what the fakes (clients and backends) recorded of a run, and judges it
// against the rules of what must never happen. It trusts nothing that the system reports of
// itself. (DESIGN 14.2)
package ledger
