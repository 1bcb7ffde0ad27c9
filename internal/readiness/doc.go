// Package readiness decides whether a daemon that has just started holds a request for which it
// lacks the configuration or an upstream. After all processes of a deployment were stopped, no
// daemon can serve for a few seconds, and callers that are rejected use up their attempts.
package readiness
