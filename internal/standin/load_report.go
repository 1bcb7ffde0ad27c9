package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
}

// AccountReport is the result of one flow: the requests of an account to a service.
type AccountReport struct {
	Account    string              `json:"account"`
	Service    string              `json:"service"`
	Sent       int                 `json:"sent"`
	Unsent     int                 `json:"unsent,omitempty"` // not sent because too many requests were in flight
	Answered   int                 `json:"answered"`
	Rejected   map[result.Code]int `json:"refused,omitempty"` // failed requests by result code
	Wrong      int                 `json:"wrong"`
	Tokens     int                 `json:"tokens"` // served between the warm-up and the end of sending
	FairTokens float64             `json:"fair"`   // fair share of the tokens that the service served
	Share      float64             `json:"share"`  // tokens divided by the fair share
	Latency    Quantiles           `json:"latency_ms"`
	FirstToken Quantiles           `json:"first_token_ms"`
}

// LoadReport is the result of a load.
type LoadReport struct {
	Seconds    float64         `json:"seconds"`
	Accounts   []AccountReport `json:"accounts"`
	WorstShare float64         `json:"worst"` // smallest share of any flow, 1 at most
	Wrong      int             `json:"wrong"`
}

// newLoadReport computes the report from the tallies of all flows. Fair shares are
// computed for each service.
func newLoadReport(tallies []*flowTally, took time.Duration) LoadReport {
	out := LoadReport{Seconds: took.Seconds(), WorstShare: 1}
	for _, service := range services(tallies) {
		rows, shares := accountRows(tallies, service)
		fairShares(shares, float64(sumTokens(rows)))
		for i := range rows {
			rows[i].FairTokens = shares[i].fairTokens
			rows[i].Share = 1
			if shares[i].fairTokens > 0 {
				rows[i].Share = float64(rows[i].Tokens) / shares[i].fairTokens
			}
			out.WorstShare = min(out.WorstShare, rows[i].Share)
			out.Wrong += rows[i].Wrong
		}
		out.Accounts = append(out.Accounts, rows...)
	}
	return out
}

// services returns the names of the services, in order of their first flow.
func services(tallies []*flowTally) []string {
	var out []string
	for _, t := range tallies {
		if !slices.Contains(out, t.flow.Service) {
			out = append(out, t.flow.Service)
		}
	}
	return out
}

// accountRows returns the report and the share of every flow to a service. The fairTokens
// of the shares are not set yet.
func accountRows(tallies []*flowTally, service string) ([]AccountReport, []flowShare) {
	var rows []AccountReport
	var shares []flowShare
	for _, t := range tallies {
		if t.flow.Service != service {
			continue
		}
		r := AccountReport{
			Account: t.flow.Account, Service: service, Sent: t.sent, Unsent: t.unsent, Answered: t.codes[result.OK],
			Wrong: t.wrong, Tokens: t.servedTokens, Rejected: map[result.Code]int{}, Latency: quantiles(t.latency), FirstToken: quantiles(t.firstToken),
		}
		for c, n := range t.codes {
			if c != result.OK {
				r.Rejected[c] = n
			}
		}
		rows = append(rows, r)
		shares = append(shares, flowShare{weight: cmp.Or(t.flow.Weight, 1), demand: t.demand()})
	}
	return rows, shares
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

// flowShare holds the weight of a flow, the tokens that it requested and its fair share of
// the tokens that were served.
type flowShare struct {
	weight, demand, fairTokens float64
}

// fairShares divides total between the flows by weighted max-min fairness and sets their
// fairTokens. A flow gets at most its demand; what it leaves goes to the others.
func fairShares(shares []flowShare, total float64) {
	unsatisfied := make([]*flowShare, 0, len(shares))
	for i := range shares {
		unsatisfied = append(unsatisfied, &shares[i])
	}
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, c := range unsatisfied {
			weights += c.weight
		}
		level := total / weights
		rest := unsatisfied[:0:0]
		for _, c := range unsatisfied {
			if c.demand <= level*c.weight {
				c.fairTokens = c.demand
				total -= c.demand
				continue
			}
			rest = append(rest, c)
		}
		if len(rest) == len(unsatisfied) {
			for _, c := range unsatisfied {
				c.fairTokens = level * c.weight
			}
			return
		}
		unsatisfied = rest
	}
}
