// Package weights decides when each upstream loads a new weight version. The Planner does
// no I/O; the leader sends the orders.
package weights

// URL paths of engines.
const (
	// OrderPath is the path to which orders to load weights are sent.
	OrderPath = "/control/weights"
	// SharePath is the path prefix under which an engine that shares weights serves the
	// version that it runs, as SharePath/SERVICE/VERSION.
	SharePath = "/weights"
)

// Order tells an engine to load a weight version. Engines that check fencing tokens
// reject an order whose Fence is lower than one they have seen.
type Order struct {
	Fence   uint64 `json:"fence"` // fencing token of the leader
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Source is the IP:port of the engine to load from; empty for the weight store.
	Source string `json:"source,omitempty"`
}
