// Package modelcheck explores every interleaving of a small control plane: messages that are
// reordered, lost or delivered twice, crashes with each outcome of an unsynced write, lost
// disks, and timeouts. The decisions are made by the production code (consensus.Acceptor,
// consensus.Proposer and the member sets). Only messages, disks and time are modelled.
// States with the same future behaviour are merged. (DESIGN 14.9)
package modelcheck
