// Package origin keeps where a text comes from: the software version of the upstreams that
// generated its first part. What two software versions of a service generate does not fit
// together, so the rest of a text may only come from the same version. Origin.Allows is the one
// place that says so, for streams of callers, items of batch jobs and samples.
package origin
