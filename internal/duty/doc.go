// Package duty does what one process at a time may do for a deployment: it
// brings engines to published weight versions, reports usage and keeps the pools
// of upstreams at their size. Every act is fenced by the leader's term.
package duty
