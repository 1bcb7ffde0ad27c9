package control

import "time"

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at  time.Duration
	seq int // order of events at the same time
	do  func()
}

// simEvents is a heap of events, the earliest first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
