// Package chooser picks upstreams for the requests of one daemon. It tracks which
// requests are in flight at which upstream, which upstreams could not be reached, and
// which are slow.
package chooser
