// Package actor starts all goroutines of the project, either as plain goroutines or to run
// actors. No other package starts goroutines itself. Each goroutine and each handled message
// gets a copy of the trace span of its parent, so that traces are propagated (DESIGN 2.3). A
// panic is reported with the name of the goroutine or actor.
//
// An actor handles one message at a time, so its state needs no lock. Other goroutines send
// messages to it through its Mailbox.
package actor
