// Package ratecap keeps the requests of all daemons to an upstream within the rate that the
// upstream names in its answers.
//
// Each daemon records the rates that it reads and reports them to the leader, which tells
// the other daemons. The leader keeps a token bucket for each upstream that names a rate. A
// daemon acquires a token before it sends such an upstream a request; the token ends soon
// after it was asked for, so nothing is left of those of an earlier leader. While a daemon
// reaches no leader, it sends its even share of the rate.
//
// Table and Issuer are pure state machines.
package ratecap
