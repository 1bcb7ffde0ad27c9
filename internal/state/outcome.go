package state

import "github.com/apricotstream/apricotstream/internal/result"

// Outcome is what applying a command gave.
type Outcome struct {
	Code    result.Code `json:"code"`
	Message string      `json:"message,omitempty"`
	Version uint64      `json:"version,omitempty"` // of the configuration or document after the command
	Claim   *Claim      `json:"claim,omitempty"`
	Step    *Step       `json:"step,omitempty"`
	Order   *Order      `json:"order,omitempty"`
	Window  *Window     `json:"window,omitempty"`

	Interval *Interval `json:"interval,omitempty"`
}

// Err returns nil for OK, else the coded error.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return result.New(o.Code, "%s", o.Message)
}

func refuse(code result.Code, message string) Outcome {
	return Outcome{Code: code, Message: message}
}
