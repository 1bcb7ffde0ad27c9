// Package rollout delivers the samples of trainers' steps: each exactly once,
// none older than the staleness bound, each labelled with the weight versions
// that produced it.
//
// Stream is the plain state machine of one step. Manager runs the steps that
// this daemon owns. A position is committed in the control log before it is first
// sent, and acknowledged by the trainer's cursor. When an owner fails, the trainer
// reopens the step at another entry, which voids the positions after its cursor.
package rollout
