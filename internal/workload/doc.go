// Package workload estimates how long requests take at upstreams: the work that a request
// needs, the work outstanding at each upstream, and how fast each upstream is. It keeps no
// clock and does no I/O; time is passed in.
//
// Work is measured in seconds at an upstream of normal speed.
package workload
