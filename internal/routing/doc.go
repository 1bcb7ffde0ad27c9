// Package routing decides where a request goes by its host and path: a complete
// configuration replaces the previous one as a whole and is compiled into an
// immutable table that traffic reads.
package routing
