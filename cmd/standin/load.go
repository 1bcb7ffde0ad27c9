package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// loadCommand sends a load and prints its report.
type loadCommand struct {
	Entries []string      `long:"entry" required:"true" description:"entries to ask first; loopback only"`
	Flows   []string      `long:"flow" required:"true" description:"account=A,key-file=F,rate=R,service=S and one of tokens=N or path=P; also weight=W,timeout=D,prefix=WORDS"`
	Time    time.Duration `long:"time" default:"10s" description:"how long to send, 10m at most"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the sending times"`
	JSON    bool          `long:"json" description:"print the report as JSON"`
}

// Execute implements flags.Commander. It fails if a response does not belong to its request
// or is incomplete. It accepts only entries on loopback.
func (c *loadCommand) Execute([]string) error {
	l := standin.Load{Entries: c.Entries, Time: c.Time, Seed: c.Seed}
	for _, e := range c.Entries {
		if a, err := netip.ParseAddrPort(e); err != nil || !a.Addr().IsLoopback() {
			return fmt.Errorf("entry %q is not an IP:port on loopback", e)
		}
	}
	for _, s := range c.Flows {
		f, err := parseFlow(s)
		if err != nil {
			return err
		}
		l.Flows = append(l.Flows, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := l.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(r)
	} else {
		printReport(r)
	}
	if err == nil && r.Wrong > 0 {
		err = fmt.Errorf("%d responses do not belong to their requests or are incomplete", r.Wrong)
	}
	return err
}

func printReport(r standin.LoadReport) {
	fmt.Printf("%-16s %-15s %6s %6s %8s %6s %9s %9s %9s %9s  refused\n", "account", "service", "sent", "ok", "tokens", "share", "p50ms", "p99ms", "p99.9ms", "first50")
	for _, a := range r.Accounts {
		fmt.Printf("%-16s %-15s %6d %6d %8d %6.2f %9.1f %9.1f %9.1f %9.1f  %s\n", a.Account, a.Service, a.Sent+a.Unsent, a.Answered, a.Tokens, a.Share,
			a.Latency.P50, a.Latency.P99, a.Latency.P999, a.FirstToken.P50, rejections(a))
	}
	fmt.Printf("seconds=%.1f worst_share=%.3f wrong=%d\n", r.Seconds, r.WorstShare, r.Wrong)
}

// rejections lists the numbers of failed requests of an account by result code, and of the
// unsent ones.
func rejections(a standin.AccountReport) string {
	var out []string
	for code, n := range a.Rejected {
		out = append(out, fmt.Sprintf("%d:%d", code, n))
	}
	if a.Unsent > 0 {
		out = append(out, fmt.Sprintf("unsent:%d", a.Unsent))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// parseFlow parses a flow from comma-separated key=value pairs.
func parseFlow(s string) (standin.Flow, error) {
	f := standin.Flow{Weight: 1}
	for _, part := range strings.Split(s, ",") {
		k, v, _ := strings.Cut(part, "=")
		if err := setFlowField(&f, k, v); err != nil {
			return f, result.New(result.SettingInvalid, "%s in flow %q: %v", part, s, err)
		}
	}
	if f.Account == "" || f.Service == "" || f.Rate <= 0 || (f.TokenLimit > 0) == (f.Path != "") {
		return f, result.New(result.SettingMissing, "flow %q needs account, service, rate above 0 and one of tokens or path", s)
	}
	return f, nil
}

// setFlowField sets the field of f that belongs to key k to the value v.
func setFlowField(f *standin.Flow, k, v string) (err error) {
	switch k {
	case "account":
		f.Account = v
	case "key-file":
		var b []byte
		b, err = os.ReadFile(v)
		f.Key = strings.TrimSpace(string(b))
	case "service":
		f.Service = v
	case "path":
		f.Path = v
	case "rate":
		f.Rate, err = strconv.ParseFloat(v, 64)
	case "weight":
		f.Weight, err = strconv.ParseFloat(v, 64)
	case "tokens":
		f.TokenLimit, err = strconv.Atoi(v)
	case "prefix":
		f.PrefixWords, err = strconv.Atoi(v)
	case "timeout":
		f.Timeout, err = time.ParseDuration(v)
	default:
		err = fmt.Errorf("unknown key")
	}
	return err
}
