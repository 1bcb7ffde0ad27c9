package state

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Command is the payload of one log entry. Exactly one of its pointers is set.
type Command struct {
	// Op identifies the operation. Commands with the same Op are applied once and get
	// the same outcome. Op is empty for commands that are idempotent by their content.
	Op string `json:"op,omitempty"`
	// At is the wall-clock time of the leader when it proposed the command. It is shown to
	// people; nothing is measured with it.
	At time.Time `json:"at"`
	// GroupTime is the time of the control group when the command was proposed. It advances
	// evenly over leaders and restarts, whatever happens to their wall clocks. Lifetimes are
	// measured with it. It is zero in the logs of earlier versions.
	GroupTime time.Time `json:"group_time,omitzero"`

	AccountCreate *AccountCreate `json:"account_create,omitempty"`
	AccountRemove *AccountRemove `json:"account_remove,omitempty"`
	KeyCreate     *KeyCreate     `json:"key_create,omitempty"`
	KeyWithdraw   *KeyWithdraw   `json:"key_withdraw,omitempty"`
	ServicePut    *ServicePut    `json:"service_put,omitempty"`
	WeightsPut    *WeightsPut    `json:"weights_put,omitempty"`
	RoutingPut    *RoutingPut    `json:"routing_put,omitempty"`
	VersionPut    *VersionPut    `json:"version_put,omitempty"`
	EvacuationPut *EvacuationPut `json:"evacuation_put,omitempty"`

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

// KeyCreate adds an access key for a client account, or for operators if Operator is set.
type KeyCreate struct {
	Hash     string `json:"hash"`
	Account  string `json:"account,omitempty"`
	Operator bool   `json:"operator,omitempty"`
}

// KeyWithdraw withdraws the access key with this public ID.
type KeyWithdraw struct {
	ID string `json:"id"`
}

// ServicePut activates a service document. Version must be the current version plus one.
// If several operators use the same number, only the first edit is accepted.
type ServicePut struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// WeightsPut publishes a weight version. A version below the published one is rejected.
type WeightsPut struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Account string `json:"account"` // of the key that published the version
}

// Time returns the time with which lifetimes are measured. Earlier versions measured them
// with the wall clock.
func (c Command) Time() time.Time {
	if c.GroupTime.IsZero() {
		return c.At
	}
	return c.GroupTime
}

// contentHash returns a hash of c without the time of its proposal.
func (c Command) contentHash() uint64 {
	c.At, c.GroupTime = time.Time{}, time.Time{}
	b, err := json.Marshal(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// Encode returns c as the payload of a log entry.
func (c Command) Encode() ([]byte, error) {
	if c.BatchAccept == nil {
		return encMode.Marshal(c)
	}
	buf := bytes.NewBuffer(make([]byte, 0, c.BatchAccept.Batch.encodedSizeHint()))
	err := encMode.MarshalToBuffer(c, buf)
	return buf.Bytes(), err
}

// DecodeCommand decodes the payload of a log entry. Errors: DataNewer for a command of a newer build,
// DataCorrupt.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	err := unmarshal(b, &c)
	return c, err
}
