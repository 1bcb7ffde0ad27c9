// Package explain searches the logs of several processes for what happened to a request,
// batch job or item. It finds the lines with its id, the lines of requests that were sent
// for it, and the state changes around these lines in the processes and upstreams that were
// involved. It reads structured logs. It depends on the keys of fields, not on the texts of
// messages.
package explain
