package state

import "github.com/apricotstream/apricotstream/internal/result"

// Outcome is the result of applying a command.
type Outcome struct {
	Code    result.Code `json:"code"`
	Message string      `json:"message,omitempty"`
	// Version is the version of the configuration, document or weights after the command.
	// For StepCommit and StepAck it is the oldest weight version that the staleness bound
	// allows.
	Version uint64  `json:"version,omitempty"`
	Claim   *Claim  `json:"claim,omitempty"`
	Step    *Step   `json:"step,omitempty"`
	Order   *Order  `json:"order,omitempty"`
	Window  *Window `json:"window,omitempty"`

	Interval *Interval `json:"interval,omitempty"`
}

// Err returns nil if the code is OK, else the coded error.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return result.New(o.Code, "%s", o.Message)
}

// reject returns the outcome of a rejected command.
func reject(code result.Code, message string) Outcome {
	return Outcome{Code: code, Message: message}
}
