// Package fakes provides the clients and backends of test fleets. They record in a ledger (package
// ledger) each request that they send, run and receive an answer for. They do not propagate trace
// identifiers, because ordinary applications are not instrumented for the mesh.
package fakes
