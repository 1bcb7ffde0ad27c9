// Package state is the replicated state machine behind the control log. Apply
// is deterministic: it reads no clock, no random source and no file.
//
// The state has two parts. Config (accounts, keys, service documents, routing, published
// weight versions) is distributed to every entry daemon, that is, every daemon that accepts
// requests from callers. It is immutable: a change creates a new Config that shares the
// unchanged parts. Ledger (claims, steps, orders, usage, batch jobs, outcomes of operations)
// stays on the replicas.
package state
