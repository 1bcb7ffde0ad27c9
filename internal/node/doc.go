// Package node runs one process of a deployment. The routing configuration of the
// deployment is replaced as a whole. A node with a data folder is a replica of the control
// log; the replicas form the control group without an operator. The leader among them runs
// batch jobs and the duties of package duty. Every node can serve callers' requests. The
// package that uses a node implements the protocols towards callers, upstreams and the
// provider.
package node
