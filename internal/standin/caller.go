package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/rollout"
)

// Caller asks the system which address to use, and uses it.
type Caller struct {
	Entries []string // to ask first
	Zone    string
	Key     string
	// Opened is called with the entry that opened a step.
	OnStepOpened func(entry string)

	client  http.Client
	onChunk func() // called for every chunk of a stream
}

// Reply is what a caller got.
type Reply struct {
	Status   int
	Entry    string
	Header   http.Header
	Body     []byte
	Text     string // of a completion
	Versions []uint64
}

// Code returns the numbered result of the reply.
func (r Reply) Code() result.Code {
	var e struct {
		Error struct {
			Code result.Code `json:"code"`
		} `json:"error"`
	}
	if r.Status < 300 || json.Unmarshal(r.Body, &e) != nil {
		return result.OK
	}
	return e.Error.Code
}

// addresses asks the known entries in turn for those to use.
func (c *Caller) addresses(ctx context.Context) ([]string, error) {
	until := time.Now().Add(findTime)
	for {
		last := errors.New("no entries are given")
		for _, e := range c.Entries {
			list, err := c.ask(ctx, e)
			if err == nil {
				return list, nil
			}
			last = err
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return nil, fmt.Errorf("no entry answers: %w", last)
		}
		time.Sleep(findPause)
	}
}

// Finding an entry: those that are starting say when to come back.
const (
	findTime  = 5 * time.Second
	findPause = 200 * time.Millisecond
)

func (c *Caller) ask(ctx context.Context, entry string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries?zone="+c.Zone, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry %s answers %d", entry, resp.StatusCode)
	}
	var body struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	var out []string
	for _, e := range body.Entries {
		out = append(out, e.Address)
	}
	return out, nil
}

// Do sends a request to the entries that the system names, the next one when
// one cannot be reached.
func (c *Caller) Do(ctx context.Context, method, path string, body []byte, header http.Header) (Reply, error) {
	list, err := c.addresses(ctx)
	if err != nil {
		return Reply{}, err
	}
	for _, e := range list {
		var r Reply
		if r, err = c.once(ctx, e, method, path, body, header); err == nil {
			return r, nil
		}
	}
	return Reply{}, err
}

// At posts a request to one entry, whatever entries the system names.
func (c *Caller) PostTo(ctx context.Context, entry, path string, body []byte) (Reply, error) {
	return c.once(ctx, entry, http.MethodPost, path, body, nil)
}

func (c *Caller) once(ctx context.Context, entry, method, path string, body []byte, header http.Header) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	r := Reply{Status: resp.StatusCode, Entry: entry, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		var seen bytes.Buffer
		err := engine.ReadStream(io.TeeReader(resp.Body, &seen), resp.Header.Get(forward.HeaderRequestID), func(x engine.Chunk) error {
			if c.onChunk != nil {
				c.onChunk()
			}
			return r.take(x)
		})
		return r, streamError(err, seen.Bytes())
	}
	r.Body, err = io.ReadAll(resp.Body)
	return r, err
}

// streamError is the coded error that a stream ended with, when it carries one.
func streamError(err error, seen []byte) error {
	_, event, found := bytes.Cut(seen, []byte("event: error\ndata: "))
	if err == nil || !found {
		return err
	}
	event, _, _ = bytes.Cut(event, []byte("\n"))
	return result.New(Reply{Status: http.StatusBadGateway, Body: event}.Code(), "the stream ended with an error")
}

func (r *Reply) take(c engine.Chunk) error {
	r.Text += c.Text()
	if n := len(r.Versions); n == 0 || r.Versions[n-1] != c.WeightVersion {
		r.Versions = append(r.Versions, c.WeightVersion)
	}
	return nil
}

// Complete asks for a streamed completion.
func (c *Caller) Complete(ctx context.Context, service, prompt string, maxTokens int) (Reply, error) {
	messages, err := json.Marshal([]message{{Role: "user", Content: prompt}})
	if err != nil {
		return Reply{}, err
	}
	b, err := json.Marshal(engine.CompletionRequest{Model: service, Messages: messages, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return Reply{}, err
	}
	return c.Do(ctx, http.MethodPost, "/services/"+service+engine.CompletionsPath, b, nil)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Publish publishes a weight version.
func (c *Caller) Publish(ctx context.Context, service string, version uint64) (Reply, error) {
	return c.Do(ctx, http.MethodPost, "/v1/services/"+service+"/weights", fmt.Appendf(nil, `{"version":%d}`, version), nil)
}

// Train opens a step and takes its samples to the end, opening it again when
// its owner is lost.
func (c *Caller) RunStep(ctx context.Context, service string, q rollout.StepRequest, take func(rollout.Sample)) error {
	for ; ; q.Attempt++ {
		if err := c.openStep(ctx, service, &q); err != nil {
			return err
		}
		done, err := c.takeAll(ctx, &q, take)
		if done || ctx.Err() != nil {
			return err
		}
	}
}

func (c *Caller) openOnce(ctx context.Context, service string, body []byte) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Do(ctx, http.MethodPost, "/v1/services/"+service+"/steps", body, nil)
}

// openStep opens the step; each try is an opening of its own.
func (c *Caller) openStep(ctx context.Context, service string, q *rollout.StepRequest) error {
	for ; ; q.Attempt++ {
		b, err := json.Marshal(q)
		if err != nil {
			return err
		}
		r, err := c.openOnce(ctx, service, b)
		switch {
		case err == nil && r.Status == http.StatusOK:
			if c.OnStepOpened != nil {
				c.OnStepOpened(r.Entry)
			}
			return nil
		case err == nil && r.Status < 500:
			return result.New(r.Code(), "%s", r.Body)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// pollTimeout is how long a trainer waits for an entry to answer.
const pollTimeout = 5 * time.Second

func (c *Caller) poll(ctx context.Context, path string) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}

// takeAll takes samples until the step is done or its owner is lost.
func (c *Caller) takeAll(ctx context.Context, q *rollout.StepRequest, take func(rollout.Sample)) (bool, error) {
	for ctx.Err() == nil {
		path := fmt.Sprintf("/v1/steps/%s/samples?attempt=%d&after=%d&wait_ms=1000", q.ID, q.Attempt, q.Cursor)
		r, err := c.poll(ctx, path)
		if err != nil {
			continue
		}
		if r.Code() == result.StepMoved {
			return false, nil
		}
		if r.Status >= 500 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if r.Status != http.StatusOK {
			return true, result.New(r.Code(), "%s", r.Body)
		}
		var b rollout.FetchResponse
		if err := json.Unmarshal(r.Body, &b); err != nil {
			return true, err
		}
		for _, s := range b.Samples {
			take(s)
		}
		q.Cursor = b.Cursor
		if b.Done {
			return true, nil
		}
	}
	return true, ctx.Err()
}
