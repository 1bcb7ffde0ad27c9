// Package proxy runs a caller's request on an upstream of its route's service:
// it chooses, retries and hedges as far as the route allows, and reports
// truthfully whether a request that failed may have run. The connections to
// upstreams are behind an interface.
package proxy
