// Package routing selects the route of a request by its host and path. A complete
// configuration replaces the previous one as a whole and is compiled into an immutable
// table for lookups.
package routing
