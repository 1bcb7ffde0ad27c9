// Package duty implements the duties of the leader, the work that only the leader does for
// a deployment: it orders engines to load published weight versions and reports usage to
// the provider. Its Provider interface also sets the sizes of upstream pools. Every order
// and report carries the leader's term as its fencing token.
package duty
