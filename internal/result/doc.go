// Package result defines the numbered result codes that every answer, log line
// and command-line error carries. A code has a class that says whether the
// request may have run; the class is a guarantee, not a hint.
package result
