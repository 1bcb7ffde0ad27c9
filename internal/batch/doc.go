// Package batch runs the items of batch jobs on the leader. A Scheduler decides which
// item runs on which engine. It and the types that it uses are state machines without
// I/O. A Runner executes these decisions and commits the results.
package batch
