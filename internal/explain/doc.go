// Package explain finds in the logs of several processes what happened to one
// request, batch job or item: its own lines, those of the requests made for it,
// and the changes of state around it at the processes and upstreams that took
// part. It reads structured logs and knows the names of their fields, not the
// sentences in them.
package explain
