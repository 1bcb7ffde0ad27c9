package limit

// MethodLease is the method by which a holder requests leases from the leader:
// LeaseRequest -> LeaseReply.
const MethodLease = "limit.ask"

// LeaseRequest contains the requests of one holder.
type LeaseRequest struct {
	Holder string    `json:"holder"` // different at every start of a daemon
	Items  []Request `json:"items"`
}

// Request asks for a lease on one share.
type Request struct {
	Key
	Want float64 `json:"want"` // recent demand, in cost units a second
	Held uint64  `json:"held"` // number of the lease in use; older leases are no longer used
}

// LeaseReply contains a lease for every requested key that has a limit. It contains none
// while leases of an earlier leader may still be in use.
type LeaseReply struct {
	Leases []Lease `json:"leases"`
}

// Lease permits the use of a share of a limit for LeaseDuration.
type Lease struct {
	Key
	Number uint64  `json:"number"` // increases with every lease, also across leaders
	Rate   float64 `json:"rate"`   // in cost units a second
}
