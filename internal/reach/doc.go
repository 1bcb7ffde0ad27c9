// Package reach opens connections to upstreams: directly, or through another daemon where the
// direct path has failed. A daemon may lose its links to upstreams while its callers, the other
// daemons and the upstreams themselves are up.
//
// A relayed connection is a connection to the upstream that another daemon, the helper, opens
// and passes on byte by byte. Whoever sends a request on it does so as on any other connection:
// attempts, deadlines, limits, usage and cancelling stay with the daemon that has the request.
package reach
