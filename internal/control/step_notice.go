package control

import (
	"github.com/apricotstream/apricotstream/internal/consensus"
)

// StepNotice carries a message of the consensus core. A replica of another cluster
// discards it. Address is the sender's peer address, for a receiver that does not know
// the membership yet.
type StepNotice struct {
	Cluster string            `json:"c"`
	Address string            `json:"a"`
	Message consensus.Message `json:"m"`
}

// decodeStepNotice decodes the JSON form of a notice.
func decodeStepNotice(raw []byte) (StepNotice, error) {
	var n StepNotice
	err := consensus.UnmarshalWithEntries(raw, &n, func() []consensus.Entry { return n.Message.Entries })
	return n, err
}
