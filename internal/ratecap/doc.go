// Package ratecap keeps the requests of all daemons to an upstream within the rate that the
// upstream names in its answers. Each daemon records what upstreams name. Table is a pure
// state machine.
package ratecap
