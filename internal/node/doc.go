// Package node runs one process of a deployment whose routes are set as a whole
// and whose control group forms by itself. A node with a data folder is a
// replica of the control log; the leader among them runs batch jobs and duties.
// Every node can run callers' requests. The outside protocols are the caller's.
package node
