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

// callerOptions holds the options of all commands that act as a caller.
type callerOptions struct {
	Entries []string      `long:"entry" required:"true" description:"entries to ask first"`
	Zone    string        `long:"zone" description:"availability zone of the caller"`
	KeyFile string        `long:"key-file" description:"file with the caller's key"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"time for the whole command"`
}

// caller returns a caller for the options, with a context that ends after the timeout.
func (o *callerOptions) caller() (*standin.Caller, context.Context, context.CancelFunc, error) {
	c := &standin.Caller{Entries: o.Entries, Zone: o.Zone}
	if o.KeyFile != "" {
		b, err := os.ReadFile(o.KeyFile)
		if err != nil {
			return nil, nil, nil, err
		}
		c.Key = strings.TrimSpace(string(b))
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return c, ctx, cancel, nil
}

// completeCommand requests a completion.
type completeCommand struct {
	callerOptions
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

// callCommand sends one request and checks the status and the result code.
type callCommand struct {
	callerOptions
	Method         string `long:"method" default:"POST" description:"HTTP method"`
	Path           string `long:"path" required:"true" description:"path at the entry"`
	Body           string `long:"body" description:"request body"`
	IdempotencyKey string `long:"idempotency-key" description:"Idempotency-Key of the request"`
	Expect         int    `long:"expect" default:"200" description:"status that must come"`
	Code           int    `long:"code" description:"numbered result code that must come"`
}

// Execute implements flags.Commander.
func (c *callCommand) Execute([]string) error {
	caller, ctx, cancel, err := c.caller()
	if err != nil {
		return err
	}
	defer cancel()
	h := http.Header{}
	if c.IdempotencyKey != "" {
		h.Set("Idempotency-Key", c.IdempotencyKey)
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

// publishCommand publishes a weight version.
type publishCommand struct {
	callerOptions
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

// trainCommand opens a step as a trainer and receives all its samples.
type trainCommand struct {
	callerOptions
	Service  string `long:"service" required:"true" description:"model service"`
	Step     string `long:"step" required:"true" description:"id of the step"`
	Groups   int    `long:"groups" default:"8" description:"prompts"`
	PerGroup int    `long:"per-group" default:"8" description:"samples for each prompt"`
	Tokens   int    `long:"tokens" default:"32" description:"longest sample"`
	Scoring  string `long:"scoring" description:"URL of the scoring service"`
}

// Execute implements flags.Commander. It fails unless every sample of the step arrived
// exactly once and with a version label.
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
	checker := stepChecker{sampleCounts: map[[2]int]int{}, segmentsByVersion: map[uint64]int{}, nextPosition: 1}
	began := time.Now()
	if err := caller.RunStep(ctx, c.Service, q, checker.add); err != nil {
		return err
	}
	if err := checker.check(c.Groups * c.PerGroup); err != nil {
		return err
	}
	meanScore, err := c.meanScore(checker.samples)
	if err != nil {
		return err
	}
	fmt.Printf("samples=%d void=%d versions=%v seconds=%.2f mean_score=%.1f\n", len(checker.samples), checker.voidPositions, checker.segmentsByVersion, time.Since(began).Seconds(), meanScore)
	return nil
}

// meanScore sends the samples to the scoring service and returns their mean score, or 0
// without a scoring service.
func (c *trainCommand) meanScore(samples []rollout.Sample) (float64, error) {
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
		var response standin.ScoreResponse
		err = json.NewDecoder(resp.Body).Decode(&response)
		resp.Body.Close()
		if err != nil {
			return 0, err
		}
		sum += response.Score
	}
	return sum / float64(len(samples)), nil
}

// stepChecker checks the samples of a step.
type stepChecker struct {
	sampleCounts      map[[2]int]int // by group and index in the group
	segmentsByVersion map[uint64]int
	samples           []rollout.Sample
	voidPositions     int
	nextPosition      int
	gaps              int
}

// add adds the next sample or the next void position, which is one without a sample.
func (c *stepChecker) add(s rollout.Sample) {
	if s.Position != c.nextPosition {
		c.gaps++
	}
	c.nextPosition = s.Position + 1
	if s.Void {
		c.voidPositions++
		return
	}
	c.sampleCounts[[2]int{s.Group, s.Index}]++
	for _, g := range s.Segments {
		c.segmentsByVersion[g.Version]++
	}
	c.samples = append(c.samples, s)
}

// check returns an error unless exactly total different samples were added, without gaps in
// the positions and each with a version label.
func (c *stepChecker) check(total int) error {
	if c.gaps > 0 || len(c.samples) != total || len(c.sampleCounts) != total {
		return fmt.Errorf("%d gaps, %d samples, %d distinct samples, expected %d", c.gaps, len(c.samples), len(c.sampleCounts), total)
	}
	for _, s := range c.samples {
		if len(s.Segments) == 0 {
			return fmt.Errorf("sample at position %d has no version label", s.Position)
		}
	}
	return nil
}
