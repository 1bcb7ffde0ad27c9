package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
}

// AccountReport is how one account fared at one service.
type AccountReport struct {
	Account    string              `json:"account"`
	Service    string              `json:"service"`
	Sent       int                 `json:"sent"`
	Unsent     int                 `json:"unsent,omitempty"` // the load tool itself was full
	Answered   int                 `json:"answered"`
	Rejected   map[result.Code]int `json:"refused,omitempty"` // by numbered code
	Wrong      int                 `json:"wrong"`
	Tokens     int                 `json:"tokens"` // served between the warm-up and the end of sending
	FairTokens float64             `json:"fair"`   // fair share of the tokens served
	Share      float64             `json:"share"`  // tokens over fair share
	Latency    Quantiles           `json:"latency_ms"`
	FirstToken Quantiles           `json:"first_token_ms"`
}

// LoadReport is the result of a load.
type LoadReport struct {
	Seconds    float64         `json:"seconds"`
	Accounts   []AccountReport `json:"accounts"`
	WorstShare float64         `json:"worst"` // smallest share of any account
	Wrong      int             `json:"wrong"`
}

// newLoadReport joins the flows of each account and service.
func newLoadReport(tallies []*flowTally, took time.Duration) LoadReport {
	out := LoadReport{Seconds: took.Seconds(), WorstShare: 1}
	for _, service := range services(tallies) {
		rows, claims := accounts(tallies, service)
		fairShares(claims, float64(sumTokens(rows)))
		for i := range rows {
			rows[i].FairTokens = claims[i].fair
			rows[i].Share = 1
			if claims[i].fair > 0 {
				rows[i].Share = float64(rows[i].Tokens) / claims[i].fair
			}
			out.WorstShare = min(out.WorstShare, rows[i].Share)
			out.Wrong += rows[i].Wrong
		}
		out.Accounts = append(out.Accounts, rows...)
	}
	return out
}

func services(tallies []*flowTally) []string {
	var out []string
	for _, t := range tallies {
		if !slices.Contains(out, t.flow.Service) {
			out = append(out, t.flow.Service)
		}
	}
	return out
}

func accounts(tallies []*flowTally, service string) ([]AccountReport, []share) {
	var rows []AccountReport
	var claims []share
	for _, t := range tallies {
		if t.flow.Service != service {
			continue
		}
		r := AccountReport{
			Account: t.flow.Account, Service: service, Sent: t.sent, Unsent: t.dropped, Answered: t.codes[result.OK],
			Wrong: t.wrong, Tokens: t.served, Rejected: map[result.Code]int{}, Latency: quantiles(t.latency), FirstToken: quantiles(t.first),
		}
		for c, n := range t.codes {
			if c != result.OK {
				r.Rejected[c] = n
			}
		}
		rows = append(rows, r)
		claims = append(claims, share{weight: cmp.Or(t.flow.Weight, 1), demand: t.demand()})
	}
	return rows, claims
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P99: at(99), P999: at(99.9)}
}

func sumTokens(rows []AccountReport) int {
	n := 0
	for _, r := range rows {
		n += r.Tokens
	}
	return n
}

// share is one account's claim on what was served.
type share struct {
	weight, demand, fair float64
}

// fairShares splits total max-min fairly by weight: nobody gets more than it
// asked for, and what it leaves goes to the others.
func fairShares(claims []share, total float64) {
	open := make([]*share, 0, len(claims))
	for i := range claims {
		open = append(open, &claims[i])
	}
	for len(open) > 0 {
		weights := 0.0
		for _, c := range open {
			weights += c.weight
		}
		level := total / weights
		rest := open[:0:0]
		for _, c := range open {
			if c.demand <= level*c.weight {
				c.fair = c.demand
				total -= c.demand
				continue
			}
			rest = append(rest, c)
		}
		if len(rest) == len(open) {
			for _, c := range open {
				c.fair = level * c.weight
			}
			return
		}
		open = rest
	}
}
