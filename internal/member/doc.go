// Package member tracks the daemons of a region by gossip: which ones are up, their
// addresses and zones, and whether they accept new callers. The state is kept in memory
// only. It is rebuilt within seconds and no durable decision depends on it.
//
// Table is a state machine without I/O. Gossip drives it: every daemon probes one other
// daemon per probe interval, so the cost for one daemon doesn't grow with the number of
// daemons. A daemon checks its own description for changes every 100 ms and sends a changed
// one to all others. A daemon that answers neither a probe nor the indirect probes of two
// other daemons is suspected. It is ejected unless it refutes the suspicion in time. Probes
// carry a hash of the table, so that daemons find and repair differences that a lost
// notice has left.
//
// Answer selects the entries that a caller should use. If the entries announce capacities that
// differ, Weighting gives each one a weight, and Answer includes it for a part of the callers
// that follows the weight. Overload halves the weight of an entry with far more requests in
// flight than the others.
package member
