// Package result defines the numbered result codes of responses, log lines and command-line
// errors. The class of a code says whether the request may have run. It is a guarantee, not
// a hint.
package result
