// Package heaplimit sets the soft memory limit of the Go runtime, so that a process stays
// within its memory and its garbage collector within a small part of the processor.
package heaplimit
