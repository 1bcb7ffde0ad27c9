package fenced

// VMOrder asks the platform for one upstream VM. If the platform receives a second order
// with the same ID, it responds as it did to the first.
type VMOrder struct {
	Fence   uint64 `json:"fence"` // fencing token: the leader's term
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
}

// VMOrderReply is the platform's response to a VMOrder.
type VMOrderReply struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// VMRelease releases the upstream VM of an order. It is idempotent: releasing a VM twice,
// or one that no longer exists, has no effect.
type VMRelease struct {
	Fence uint64 `json:"fence"` // fencing token: the leader's term
	ID    string `json:"id"`
}
