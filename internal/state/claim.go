package state

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// ClaimRetention is how long a claim and its response are retained.
const ClaimRetention = 24 * time.Hour

// ClaimID identifies a non-idempotent request.
type ClaimID struct {
	Account string `json:"account"`
	Key     string `json:"key"` // Idempotency-Key
}

// ClaimState is the state of a claim.
type ClaimState string

const (
	// ClaimRunning means that Owner may dispatch the request or has dispatched it.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the response is stored.
	ClaimDone ClaimState = "done"
	// ClaimReleased means that the request did not run. It may be claimed again.
	ClaimReleased ClaimState = "released"
	// ClaimUnknown means that the request may have run and no response is known.
	ClaimUnknown ClaimState = "unknown"
)

// MaxStoredAnswerBytes bounds the body of a stored response. A larger body is delivered
// once and recorded as dropped, to keep the log small.
const MaxStoredAnswerBytes = 64 << 10

// maxPastOwners bounds the number of past owners that a claim retains.
const maxPastOwners = 8

// Answer is a stored HTTP response.
type Answer struct {
	Status  int               `json:"status"`
	Header  map[string]string `json:"header,omitempty"`
	Body    []byte            `json:"body,omitempty"`
	Dropped bool              `json:"dropped,omitempty"` // the body was larger than MaxStoredAnswerBytes
}

// ForLog returns the form of a that is stored in the log: a itself, or only the status if
// the body is too large.
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
	Owner       string     `json:"owner"`       // one attempt of one entry daemon; never reused
	State       ClaimState `json:"state"`
	Answer      *Answer    `json:"answer,omitempty"`
	At          time.Time  `json:"at"`
	// PastOwners holds the newest owners that released the claim. If their ClaimBegin
	// arrives late or again, it must not claim the request, because nobody would run it.
	PastOwners []string `json:"past,omitempty"`
}

// ClaimBegin claims a request for Owner.
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
		return s.startClaim(Claim{ID: c.ID, Fingerprint: c.Fingerprint, Owner: c.Owner, At: at})
	}
	if old.Fingerprint != "" && old.Fingerprint != c.Fingerprint {
		return reject(result.IdempotencyKeyReused, "the idempotency key was used with another request")
	}
	if old.Owner == c.Owner && old.State == ClaimRunning {
		return Outcome{Claim: &old} // resent because the reply was lost
	}
	if old.Owner == c.Owner || slices.Contains(old.PastOwners, c.Owner) {
		return Outcome{Code: result.Fenced, Message: "this attempt has ended", Claim: &old}
	}
	if old.State != ClaimReleased {
		return Outcome{Code: result.ClaimBusy, Message: "the request was claimed before", Claim: &old}
	}
	return s.startClaim(Claim{ID: c.ID, Fingerprint: c.Fingerprint, Owner: c.Owner, At: at, PastOwners: old.pastOwnersWith(old.Owner)})
}

// pastOwnersWith returns the past owners including owner, at most maxPastOwners.
func (c Claim) pastOwnersWith(owner string) []string {
	past := append(slices.Clone(c.PastOwners), owner)
	return past[max(0, len(past)-maxPastOwners):]
}

func (s *State) startClaim(n Claim) Outcome {
	n.State = ClaimRunning
	s.Ledger.putClaim(n)
	return Outcome{Claim: &n}
}

func (s *State) claimFinish(c *ClaimFinish, at time.Time) Outcome {
	old, ok := s.Ledger.Claims[c.ID]
	if !ok && c.State == ClaimReleased {
		// The ClaimBegin of this owner may still be in flight. When it is applied, it
		// must find that its owner has released the claim.
		old = Claim{ID: c.ID, Owner: c.Owner, State: ClaimReleased, At: at}
		s.Ledger.putClaim(old)
		return Outcome{Claim: &old}
	}
	if !ok {
		return reject(result.NotFound, "no such claim")
	}
	if old.Owner == c.Owner && old.State == c.State {
		return Outcome{Claim: &old} // resent because the reply was lost
	}
	if old.Owner != c.Owner && c.State == ClaimReleased {
		old.PastOwners = old.pastOwnersWith(c.Owner)
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

// expireClaims discards claims that are older than ClaimRetention. It goes through them in
// ClaimOrder and stops at the first younger one.
func (s *State) expireClaims(at time.Time) {
	order := s.Ledger.ClaimOrder
	for len(order) > 0 {
		c, ok := s.Ledger.Claims[order[0]]
		if ok && at.Sub(c.At) < ClaimRetention {
			break
		}
		delete(s.Ledger.Claims, order[0])
		order = order[1:]
	}
	s.Ledger.ClaimOrder = order
}
