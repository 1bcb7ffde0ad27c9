// Package document reads service documents, the dynamic configuration that the team
// owning a service edits while traffic is served. A document is accepted or rejected as
// a whole.
package document
