// Package actor is the only place of the project that starts goroutines, as plain goroutines
// or as the work of actors. Whatever it starts gets a copy of the span that its parent held,
// so that traces follow the work (DESIGN 2.3), and a panic in it is reported with the name
// of the part.
//
// An actor is a part that handles one message at a time, so that its state needs no lock.
// Its Mailbox is how others reach it.
package actor
