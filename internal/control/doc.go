// Package control runs the control log of a daemon.
//
// A Replica owns the consensus core, the data folder and the state machine in one
// goroutine. A Follower runs on every daemon. It keeps the newest configuration and the
// freshness lease, which is the time until which the daemon may rely on that
// configuration. A Proposer runs on every daemon too and commits commands through any
// replica.
package control
