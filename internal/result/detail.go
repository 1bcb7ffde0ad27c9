package result

import (
	stderrors "errors"
	"strings"
)

// Detail returns the annotations of an error that wraps an Error. They are for log lines; callers
// get the Error alone. Detail returns "" if there are none.
func Detail(err error) string {
	var e *Error
	if !stderrors.As(err, &e) {
		return ""
	}
	return strings.TrimSuffix(strings.TrimSuffix(err.Error(), e.Error()), ": ")
}
