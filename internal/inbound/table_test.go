package inbound

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against ordinary callers' connections that are closed before those of callers that keep to
// no limit.
func TestConnectionsThatNeverCompletedARequestAreClosedFirst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return now.Add(time.Duration(seconds * float64(time.Second))) }
	x := NewTable[string](6)
	x.Open(at(0), "served")
	x.Complete(at(0), "served")
	x.Open(at(0), "idle")
	x.Complete(at(0), "idle")
	x.Answered(at(0.1), "idle")
	x.Open(at(0), "slow body")
	x.Complete(at(0), "slow body")
	x.Answered(at(0.2), "slow body")
	x.Begin(at(4), "slow body")
	x.Open(at(3), "silent")
	x.Open(at(1), "endless head")
	x.Begin(at(2), "endless head")
	x.Open(at(5), "new")
	var order []string
	for {
		victim, found := x.Victim(at(5), "")
		if !found {
			break
		}
		order = append(order, victim)
		x.Close(victim)
	}
	g.Expect(order).To(Equal([]string{"endless head", "silent", "slow body", "idle", "new"}))
	g.Expect(x.Len()).To(Equal(1), "a caller whose request is complete gets its answer")
}

// Guards against callers that read no answer and keep all others out, and against callers that read
// theirs and are closed.
func TestCallersThatTakeNoAnswerMakeRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := NewTable[string](2)
	for _, c := range []string{"reads", "reads nothing"} {
		x.Open(now, c)
		x.Complete(now, c)
		x.Writing(now, c, true)
	}
	x.Writing(now.Add(4*time.Second), "reads", false)
	x.Writing(now.Add(4*time.Second), "reads", true)
	victim, _, _ := x.Open(now.Add(4*time.Second), "early")
	g.Expect(victim).To(Equal("early"))
	victim, _, _ = x.Open(now.Add(6*time.Second), "later")
	g.Expect(victim).To(Equal("reads nothing"))
	x.Complete(now.Add(6*time.Second), "later")
	x.Writing(now.Add(7*time.Second), "reads", false)
	victim, _, _ = x.Open(now.Add(time.Minute), "new")
	g.Expect(victim).To(Equal("new"), "an upstream that takes its time is no reason")
}

// Guards against memory that is taken from connections that hold none, or that are being served.
func TestOnlyIncompleteRequestsGiveMemoryBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x := NewTable[string](10)
	for _, c := range []string{"idle", "serving", "reading", "newest"} {
		x.Open(now, c)
	}
	x.Begin(now, "reading")
	x.Begin(now.Add(time.Second), "newest")
	x.Complete(now, "serving")
	victim, found := x.Holder(now.Add(2*time.Second), "newest")
	g.Expect(victim).To(Equal("reading"))
	g.Expect(found).To(BeTrue())
	x.Close("reading")
	_, found = x.Holder(now.Add(2*time.Second), "newest")
	g.Expect(found).To(BeFalse(), "the one that asks is no victim")
}

// Guards against memory that stays taken, and against more connections than there may be, whatever
// connections do.
func TestTableKeepsToItsBoundAndGivesAllMemoryBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
		x, held := NewTable[int](most), int64(0)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			c := rapid.IntRange(1, 8).Draw(t, "connection")
			_, open := x.connections[c]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if open {
					continue
				}
				victim, freed, tooMany := x.Open(now, c)
				held -= freed
				if tooMany && victim != c {
					if _, still := x.connections[victim]; still {
						t.Fatalf("the victim %d is still in the table", victim)
					}
				}
			case 1:
				x.Begin(now, c)
				if x.Hold(c, 10) {
					held += 10
				}
			case 2:
				x.Complete(now, c)
			case 3:
				held -= x.Answered(now, c)
			case 4:
				held -= x.Close(c)
			}
			if x.Len() > most {
				t.Fatalf("%d connections", x.Len())
			}
		}
		for c := range 9 {
			held -= x.Close(c)
		}
		if held != 0 {
			t.Fatalf("%d bytes stay taken", held)
		}
	})
}
