// Package node runs one process of a deployment whose routing configuration is replaced
// as a whole and whose control group forms by itself. A node with a data folder is a
// replica of the control log. The leader among the replicas runs batch jobs and the
// duties of package duty. Every node can serve callers' requests. The package that uses a
// node implements the protocols towards callers, upstreams and the provider.
package node
