// Package batch runs the items of batch jobs at the leader. Which items run
// where is decided by plain state machines (Plan and what it uses); a Runner
// carries the decisions out and commits the results.
package batch
