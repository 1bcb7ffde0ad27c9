// Package peer implements typed calls and notices between daemons. They use JSON-RPC 2.0
// over TCP, with one connection for each pair of daemons and direction.
//
// Notices are handled in their order of arrival, and their handlers must not block. Each
// call runs in its own goroutine. A call that failed before anything was written returns
// ErrUnreachable. After any other failure the other daemon may have run the call.
package peer
