// Package rollout delivers the samples of steps to trainers. Each sample is delivered
// exactly once, is within the staleness bound, and is labelled with the weight versions
// that produced it.
//
// Stream is the state machine of one step, without I/O. Manager runs the steps that this
// daemon owns. The samples of a step are sent at positions, which are numbered from 1. A
// position is committed to the control log before it is first sent, and is acknowledged by
// the trainer's cursor: the last position that the trainer has received. When an owner
// fails, the trainer reopens the step at another entry. Reopening voids the positions after
// the cursor: they carry no sample, and their samples get later positions.
package rollout
