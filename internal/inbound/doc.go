// Package inbound bounds what the connections of callers hold in a process: their number, and the
// memory of their requests' heads. What one connection may send has bounds of its own, but callers
// that keep to no limit open many, and without a common bound the process runs out of descriptors or
// memory and all other requests end with it.
//
// When there is no more room, the connections that are least likely to belong to an ordinary caller
// are closed, see Table.
package inbound
