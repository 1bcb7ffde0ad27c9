package ratecap

import (
	"cmp"
	"slices"
	"time"
)

// noteChanged records that a cap must be told. The caller holds k.mu.
func (k *Keeper) noteChanged(id string) {
	if !slices.Contains(k.changed, id) {
		k.changed = append(k.changed, id)
	}
}

// tell tells the other daemons the caps that have changed, and all of them in turn. The
// caller holds k.mu.
func (k *Keeper) tell(now time.Time) {
	if len(k.refresh) == 0 && now.Sub(k.toldAt) >= refreshInterval {
		k.refresh, k.toldAt = k.sorted(), now
	}
	var out []SentCap
	take := func(list []string) []string {
		for len(list) > 0 && len(out) < capsPerNotice {
			if c, ok := k.recorder.table.caps[list[0]]; ok {
				out = append(out, c.toSend(now, list[0]))
			}
			list = list[1:]
		}
		return list
	}
	k.changed = take(k.changed)
	k.refresh = take(k.refresh)
	if len(out) > 0 {
		k.deployment.Broadcast(MethodCaps, out)
	}
}

// Told takes the caps that the leader tells.
func (k *Keeper) Told(caps []SentCap) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.merge(time.Now(), caps)
}

// merge takes the caps that another daemon knows. The caller holds k.mu.
func (k *Keeper) merge(now time.Time, caps []SentCap) {
	for _, s := range caps {
		if s.valid() && k.recorder.table.Merge(s.ID, s.received(now)) {
			k.log.Info("Rate of an upstream learned from the leader.", "upstream", s.ID, "incarnation", s.Incarnation, "rate", s.Rate, "named_ms", s.NamedMs, "ended", s.Ended)
		}
	}
	k.countCaps()
}

// sorted returns the ids of all caps, the one that has not changed for the longest time
// first. The caller holds k.mu.
func (k *Keeper) sorted() []string {
	caps := k.recorder.table.caps
	out := make([]string, 0, len(caps))
	for id := range caps {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(caps[a].changedAt().Compare(caps[b].changedAt()), cmp.Compare(a, b))
	})
	return out
}
