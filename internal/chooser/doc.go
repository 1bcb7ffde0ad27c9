// Package chooser picks upstreams for requests and remembers, for one daemon,
// what runs where, which upstreams could not be reached and which are slow.
package chooser
