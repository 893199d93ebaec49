// Package modelcheck explores every interleaving of a small control plane: messages delivered
// in any order, lost or delivered twice, crashes with each outcome of an unsynced write, lost
// disks, and timeouts. The decisions are the production's (consensus.Acceptor,
// consensus.Proposer and the member sets); only messages, disks and time are modelled.
// States that behave alike from there on are merged. (DESIGN 14.9)
package modelcheck
