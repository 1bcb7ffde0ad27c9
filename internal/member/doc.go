// Package member is the soft view of the daemons of a region: who is up, where,
// and whether it takes new callers. It is rebuilt within seconds and never
// decides anything that must survive.
//
// Table is a plain state machine. Gossip runs it: every daemon probes one other
// daemon a period, so the cost does not grow with their number. What changes is
// sent to all at once by the daemon that it concerns; a daemon that answers
// neither a probe nor two helpers is suspected, and dropped unless it speaks up in
// time. Hashes in the probes find what a lost notice left different.
package member
