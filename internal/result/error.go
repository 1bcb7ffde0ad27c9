package result

import (
	stderrors "errors"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is a failure with its numbered code.
type Error struct {
	Code       Code          `json:"code"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"retry_after,omitempty"` // nanoseconds; zero when coming back is no use
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
}

// New returns an error of code c with a formatted message.
func New(c Code, format string, args ...any) error {
	return errors.Trace(&Error{Code: c, Message: fmt.Sprintf(format, args...)})
}

// Later is New with the time after which the caller should come back.
func NewRetryAfter(c Code, after time.Duration, format string, args ...any) error {
	return errors.Trace(&Error{Code: c, Message: fmt.Sprintf(format, args...), RetryAfter: after})
}

// From finds the coded error inside err; an uncoded error becomes Internal and
// nil becomes nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// CodeOf returns the code of err; OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
