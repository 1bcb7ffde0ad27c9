package state

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Command is one entry of the control log. Exactly one of its parts is set.
type Command struct {
	// Op names the operation; the same Op is applied once and answered alike
	// every time. Empty for commands that are idempotent by themselves.
	Op string `json:"op,omitempty"`
	// At is the leader's wall clock when it proposed the command.
	At time.Time `json:"at"`

	AccountCreate *AccountCreate `json:"account_create,omitempty"`
	AccountRemove *AccountRemove `json:"account_remove,omitempty"`
	KeyCreate     *KeyCreate     `json:"key_create,omitempty"`
	KeyWithdraw   *KeyWithdraw   `json:"key_withdraw,omitempty"`
	ServicePut    *ServicePut    `json:"service_put,omitempty"`
	WeightsPut    *WeightsPut    `json:"weights_put,omitempty"`
	RoutingPut    *RoutingPut    `json:"routing_put,omitempty"`
	VersionPut    *VersionPut    `json:"version_put,omitempty"`

	BatchAccept *BatchAccept `json:"batch_accept,omitempty"`
	BatchRecord *BatchRecord `json:"batch_record,omitempty"`
	BatchEnd    *BatchEnd    `json:"batch_end,omitempty"`
	IntervalFix *IntervalFix `json:"interval_fix,omitempty"`
	RetireMark  *RetireMark  `json:"retire_mark,omitempty"`

	ClaimBegin  *ClaimBegin  `json:"claim_begin,omitempty"`
	ClaimFinish *ClaimFinish `json:"claim_finish,omitempty"`

	StepOpen   *StepOpen   `json:"step_open,omitempty"`
	StepCommit *StepCommit `json:"step_commit,omitempty"`
	StepAck    *StepAck    `json:"step_ack,omitempty"`
	StepMove   *StepMove   `json:"step_move,omitempty"`

	OrderCreate *OrderCreate `json:"order_place,omitempty"`
	OrderUpdate *OrderUpdate `json:"order_settle,omitempty"`

	UsageDelta     *UsageDelta     `json:"usage_delta,omitempty"`
	WindowClose    *WindowClose    `json:"window_close,omitempty"`
	WindowReported *WindowReported `json:"window_reported,omitempty"`
}

// AccountCreate adds a client account.
type AccountCreate struct {
	Name string `json:"name"`
}

// AccountRemove removes a client account and withdraws its keys.
type AccountRemove struct {
	Name string `json:"name"`
}

// KeyCreate gives a key to an account, or to operators.
type KeyCreate struct {
	Hash     string `json:"hash"`
	Account  string `json:"account,omitempty"`
	Operator bool   `json:"operator,omitempty"`
}

// KeyWithdraw ends a key by its public name.
type KeyWithdraw struct {
	ID string `json:"id"`
}

// ServicePut activates a service document. Version must be the current
// version plus one: of operators racing under equal numbers one wins.
type ServicePut struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// WeightsPut publishes a weight version; versions only grow.
type WeightsPut struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Account string `json:"account"` // of the key that published
}

// sum identifies what c does, whenever it was proposed.
func (c Command) sum() uint64 {
	c.At = time.Time{}
	b, err := json.Marshal(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// Encode returns the log payload.
func (c Command) Encode() ([]byte, error) {
	return encMode.Marshal(c)
}

// DecodeCommand reads a log payload.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	err := unmarshal(b, &c)
	return c, err
}
