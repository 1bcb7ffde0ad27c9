// Package reach opens connections to upstreams.
package reach
