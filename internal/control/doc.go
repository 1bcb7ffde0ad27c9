// Package control connects a daemon to the control log, the replicated log of all changes
// of the configuration and the ledger (package state). The replicas of this log form the
// control group.
//
// A Replica owns the consensus core, the data folder and the state machine in one
// goroutine. A Follower runs on every daemon. It keeps the newest configuration and the
// freshness lease, which is the time until which the daemon may rely on that
// configuration. A Proposer runs on every daemon too and commits commands through any
// replica.
package control
