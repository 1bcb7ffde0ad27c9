// Package takeup keeps which software version began a caller's stream, so that any entry can
// tell where the stream may go on when the caller takes it up again. The entry where a stream
// begins tells some of the replicas, the keepers of the stream, and keeps a record itself. It
// does not wait for them: a stream whose origin is not known is refused as not run, so that a
// lost record costs a take-up and never joins two versions. All records are in memory.
package takeup
