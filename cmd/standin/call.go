package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// as are the options of commands that act as a caller.
type as struct {
	Entries []string      `long:"entry" required:"true" description:"entries to ask first"`
	Zone    string        `long:"zone" description:"availability zone of the caller"`
	KeyFile string        `long:"key-file" description:"file with the caller's key"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"time for the whole command"`
}

func (a *as) caller() (*standin.Caller, context.Context, context.CancelFunc, error) {
	c := &standin.Caller{Entries: a.Entries, Zone: a.Zone}
	if a.KeyFile != "" {
		b, err := os.ReadFile(a.KeyFile)
		if err != nil {
			return nil, nil, nil, err
		}
		c.Key = strings.TrimSpace(string(b))
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	return c, ctx, cancel, nil
}

type completeCommand struct {
	as
	Service string `long:"service" required:"true" description:"model service"`
	Prompt  string `long:"prompt" default:"a hint, please" description:"text of the user"`
	Tokens  int    `long:"tokens" default:"16" description:"longest answer"`
}

// Execute implements flags.Commander.
func (c *completeCommand) Execute([]string) error {
	caller, ctx, cancel, err := c.caller()
	if err != nil {
		return err
	}
	defer cancel()
	r, err := caller.Complete(ctx, c.Service, c.Prompt, c.Tokens)
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	fmt.Printf("entry=%s upstream=%s versions=%v words=%d request=%s\n", r.Entry, r.Header.Get("X-Upstream"), r.Versions, len(strings.Fields(r.Text)), r.Header.Get("X-Request-Id"))
	return nil
}

type callCommand struct {
	as
	Method string `long:"method" default:"POST" description:"HTTP method"`
	Path   string `long:"path" required:"true" description:"path at the entry"`
	Body   string `long:"body" description:"request body"`
	Once   string `long:"idempotency-key" description:"Idempotency-Key of the request"`
	Expect int    `long:"expect" default:"200" description:"status that must come"`
	Code   int    `long:"code" description:"numbered result code that must come"`
}

// Execute implements flags.Commander.
func (c *callCommand) Execute([]string) error {
	caller, ctx, cancel, err := c.caller()
	if err != nil {
		return err
	}
	defer cancel()
	h := http.Header{}
	if c.Once != "" {
		h.Set("Idempotency-Key", c.Once)
	}
	r, err := caller.Do(ctx, c.Method, c.Path, []byte(c.Body), h)
	if err != nil {
		return err
	}
	if r.Status != c.Expect || r.Code() != result.Code(c.Code) {
		return fmt.Errorf("status %d, code %d: %s", r.Status, r.Code(), r.Body)
	}
	if c.Code != 0 {
		fmt.Printf("entry=%s status=%d code=%d\n", r.Entry, r.Status, r.Code())
		return nil
	}
	fmt.Printf("%s\n", bytes.TrimSpace(r.Body))
	return nil
}

type publishCommand struct {
	as
	Service string `long:"service" required:"true" description:"model service"`
	Version uint64 `long:"version" required:"true" description:"weight version"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	caller, ctx, cancel, err := c.caller()
	if err != nil {
		return err
	}
	defer cancel()
	r, err := caller.Publish(ctx, c.Service, c.Version)
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", r.Status, r.Body)
	}
	if err != nil {
		return err
	}
	fmt.Printf("version=%d\n", c.Version)
	return nil
}

type trainCommand struct {
	as
	Service  string `long:"service" required:"true" description:"model service"`
	Step     string `long:"step" required:"true" description:"id of the step"`
	Groups   int    `long:"groups" default:"8" description:"prompts"`
	PerGroup int    `long:"per-group" default:"8" description:"samples for each prompt"`
	Tokens   int    `long:"tokens" default:"32" description:"longest sample"`
	Scoring  string `long:"scoring" description:"URL of the scoring service"`
}

// Execute implements flags.Commander. It fails unless every sample of the step
// came exactly once and with a label.
func (c *trainCommand) Execute([]string) error {
	caller, ctx, cancel, err := c.caller()
	if err != nil {
		return err
	}
	defer cancel()
	q := rollout.StepRequest{ID: c.Step, Attempt: uint64(time.Now().UnixNano()), PerGroup: c.PerGroup, MaxTokens: c.Tokens}
	for i := range c.Groups {
		q.Groups = append(q.Groups, rollout.Group{Messages: json.RawMessage(fmt.Sprintf(`[{"role":"user","content":"puzzle %d"}]`, i))})
	}
	t := tally{seen: map[[2]int]int{}, versions: map[uint64]int{}, next: 1}
	began := time.Now()
	if err := caller.RunStep(ctx, c.Service, q, t.take); err != nil {
		return err
	}
	if err := t.check(c.Groups * c.PerGroup); err != nil {
		return err
	}
	score, err := c.score(t.samples)
	if err != nil {
		return err
	}
	fmt.Printf("samples=%d void=%d versions=%v seconds=%.2f mean_score=%.1f\n", len(t.samples), t.void, t.versions, time.Since(began).Seconds(), score)
	return nil
}

// score returns the mean score; 0 without a scoring service.
func (c *trainCommand) score(samples []rollout.Sample) (float64, error) {
	if c.Scoring == "" {
		return 0, nil
	}
	sum := 0.0
	for _, s := range samples {
		b, err := json.Marshal(standin.ScoreRequest{Text: s.Text})
		if err != nil {
			return 0, err
		}
		resp, err := http.Post(c.Scoring+"/score", "application/json", bytes.NewReader(b))
		if err != nil {
			return 0, err
		}
		var a standin.ScoreResponse
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err != nil {
			return 0, err
		}
		sum += a.Score
	}
	return sum / float64(len(samples)), nil
}

// tally checks a step's stream.
type tally struct {
	seen     map[[2]int]int
	versions map[uint64]int
	samples  []rollout.Sample
	void     int
	next     int
	gaps     int
}

func (t *tally) take(s rollout.Sample) {
	if s.Position != t.next {
		t.gaps++
	}
	t.next = s.Position + 1
	if s.Void {
		t.void++
		return
	}
	t.seen[[2]int{s.Group, s.Index}]++
	for _, g := range s.Segments {
		t.versions[g.Version]++
	}
	t.samples = append(t.samples, s)
}

func (t *tally) check(total int) error {
	if t.gaps > 0 || len(t.samples) != total || len(t.seen) != total {
		return fmt.Errorf("%d gaps, %d samples, %d distinct, wanted %d", t.gaps, len(t.samples), len(t.seen), total)
	}
	for _, s := range t.samples {
		if len(s.Segments) == 0 {
			return fmt.Errorf("position %d has no label", s.Position)
		}
	}
	return nil
}
