// Package proxy sends a caller's request to an upstream of its route's service. It picks
// the upstream, retries and hedges as far as the route allows, and reports whether a
// failed request may have run. The connections to upstreams are behind the Upstreams
// interface.
package proxy
