package strictini

import (
	"fmt"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Problem is one error in a file.
type Problem struct {
	File    string
	Line    int // counted from 1; 0 for a problem of the file as a whole
	Code    result.Code
	Message string
}

// String returns the problem in the form "file:line: code name: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %d %s: %s", p.File, p.Line, p.Code, p.Code.Info().Name, p.Message)
}

// Problems are all problems found in a file.
type Problems []Problem

// Err returns nil when there is no problem, otherwise one error with the given code that
// lists all problems, one per line.
func (ps Problems) Err(code result.Code) error {
	if len(ps) == 0 {
		return nil
	}
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return result.New(code, "%s", strings.Join(lines, "\n"))
}
