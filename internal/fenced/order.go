package fenced

// VMOrder asks the platform for one upstream VM. The platform answers a second
// order of the same ID with the first one's answer.
type VMOrder struct {
	Fence   uint64 `json:"fence"`
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
}

// VMAnswer is the platform's answer.
type VMOrderReply struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// VMRelease gives back the upstream VM of an order. Releasing twice, or what is
// gone already, does no harm.
type VMRelease struct {
	Fence uint64 `json:"fence"`
	ID    string `json:"id"`
}
