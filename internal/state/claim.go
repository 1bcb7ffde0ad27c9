package state

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// ClaimRetention is how long a claim and its answer are kept.
const ClaimRetention = 24 * time.Hour

// ClaimID names a non-idempotent request.
type ClaimID struct {
	Account string `json:"account"`
	Key     string `json:"key"` // Idempotency-Key
}

// ClaimState of a non-idempotent request.
type ClaimState string

const (
	// ClaimRunning means that Owner may dispatch, or has dispatched, it.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the answer is kept.
	ClaimDone ClaimState = "done"
	// ClaimReleased means that it surely did not run: it may be claimed anew.
	ClaimReleased ClaimState = "released"
	// ClaimUnknown means that it may have run and no answer is known.
	ClaimUnknown ClaimState = "unknown"
)

// MaxKeptAnswer bounds the body of a kept answer, in bytes. A larger one is
// delivered once and recorded as dropped, so that it does not swell the log.
const MaxStoredAnswerBytes = 64 << 10

// maxPastOwners bounds the released owners that a claim remembers.
const maxPastOwners = 8

// Answer is a kept HTTP answer.
type Answer struct {
	Status  int               `json:"status"`
	Header  map[string]string `json:"header,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Dropped bool              `json:"dropped,omitempty"` // the body was above MaxKeptAnswer
}

// Kept returns the form of a that goes into the log.
func (a *Answer) ForLog() *Answer {
	if a == nil || len(a.Body) <= MaxStoredAnswerBytes {
		return a
	}
	return &Answer{Status: a.Status, Dropped: true}
}

// Claim is the right to run a non-idempotent request once.
type Claim struct {
	ID          ClaimID    `json:"id"`
	Fingerprint string     `json:"fingerprint"` // of service, route and body
	Owner       string     `json:"owner"`       // one attempt of one entry; never used again
	State       ClaimState `json:"state"`
	Answer      *Answer    `json:"answer,omitempty"`
	At          time.Time  `json:"at"`
	// Past holds the newest owners that released it. A late copy of their
	// ClaimBegin must not claim it again: nobody would run it.
	PastOwners []string `json:"past,omitempty"`
}

// ClaimBegin asks for the right to run a request.
type ClaimBegin struct {
	ID          ClaimID `json:"id"`
	Fingerprint string  `json:"fingerprint"`
	Owner       string  `json:"owner"`
}

// ClaimFinish records how a claimed request ended.
type ClaimFinish struct {
	ID     ClaimID    `json:"id"`
	Owner  string     `json:"owner"`
	State  ClaimState `json:"state"`
	Answer *Answer    `json:"answer,omitempty"`
}

func (s *State) claimBegin(c *ClaimBegin, at time.Time) Outcome {
	s.expireClaims(at)
	old, ok := s.Ledger.Claims[c.ID]
	if !ok {
		return s.claim(Claim{ID: c.ID, Fingerprint: c.Fingerprint, Owner: c.Owner, At: at})
	}
	if old.Fingerprint != "" && old.Fingerprint != c.Fingerprint {
		return refuse(result.IdempotencyKeyReused, "the idempotency key was used with another request")
	}
	if old.Owner == c.Owner && old.State == ClaimRunning {
		return Outcome{Claim: &old} // resent after a lost answer
	}
	if old.Owner == c.Owner || slices.Contains(old.PastOwners, c.Owner) {
		return Outcome{Code: result.Fenced, Message: "this attempt has ended", Claim: &old}
	}
	if old.State != ClaimReleased {
		return Outcome{Code: result.ClaimBusy, Message: "the request was claimed before", Claim: &old}
	}
	return s.claim(Claim{ID: c.ID, Fingerprint: c.Fingerprint, Owner: c.Owner, At: at, PastOwners: old.withPast(old.Owner)})
}

func (c Claim) withPast(owner string) []string {
	past := append(slices.Clone(c.PastOwners), owner)
	return past[max(0, len(past)-maxPastOwners):]
}

func (s *State) claim(n Claim) Outcome {
	n.State = ClaimRunning
	s.Ledger.putClaim(n)
	return Outcome{Claim: &n}
}

func (s *State) claimFinish(c *ClaimFinish, at time.Time) Outcome {
	old, ok := s.Ledger.Claims[c.ID]
	if !ok && c.State == ClaimReleased {
		// The ClaimBegin of this owner may still be under way: it must find
		// that its owner has given up.
		old = Claim{ID: c.ID, Owner: c.Owner, State: ClaimReleased, At: at}
		s.Ledger.putClaim(old)
		return Outcome{Claim: &old}
	}
	if !ok {
		return refuse(result.NotFound, "no such claim")
	}
	if old.Owner == c.Owner && old.State == c.State {
		return Outcome{Claim: &old} // resent after a lost answer
	}
	if old.Owner != c.Owner && c.State == ClaimReleased {
		old.PastOwners = old.withPast(c.Owner)
		s.Ledger.putClaim(old)
	}
	if old.State != ClaimRunning || old.Owner != c.Owner {
		return Outcome{Code: result.Fenced, Message: "the claim has ended or has another owner", Claim: &old}
	}
	old.State = c.State
	old.Answer = c.Answer.ForLog()
	s.Ledger.putClaim(old)
	return Outcome{Claim: &old}
}

// expireClaims drops what is older than ClaimRetention, oldest first.
func (s *State) expireClaims(at time.Time) {
	q := s.Ledger.ClaimOrder
	for len(q) > 0 {
		c, ok := s.Ledger.Claims[q[0]]
		if ok && at.Sub(c.At) < ClaimRetention {
			break
		}
		delete(s.Ledger.Claims, q[0])
		q = q[1:]
	}
	s.Ledger.ClaimOrder = q
}
