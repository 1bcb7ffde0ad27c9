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

// Caller is a client that gets the addresses of entries from the system and sends its
// requests to them.
type Caller struct {
	Entries []string // addresses of entries; they return the addresses to use
	Zone    string
	Key     string
	// OnStepOpened is called with the entry that opened a step; it may be nil.
	OnStepOpened func(entry string)

	client  http.Client
	onChunk func() // called for every chunk of a stream; may be nil
}

// Reply is the response to a request.
type Reply struct {
	Status   int
	Entry    string
	Header   http.Header
	Body     []byte
	Text     string   // of a streamed completion
	Versions []uint64 // weight versions of its chunks, without consecutive repetitions
}

// Code returns the result code of the reply.
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

// findEntries asks the entries in c.Entries in order and returns the addresses from the
// first successful response. It retries for findEntriesTimeout.
func (c *Caller) findEntries(ctx context.Context) ([]string, error) {
	until := time.Now().Add(findEntriesTimeout)
	for {
		last := errors.New("no entries are given")
		for _, e := range c.Entries {
			list, err := c.fetchEntries(ctx, e)
			if err == nil {
				return list, nil
			}
			last = err
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return nil, fmt.Errorf("no entry responded: %w", last)
		}
		time.Sleep(findEntriesInterval)
	}
}

// Entries that are still starting tell callers to retry later, so findEntries retries.
const (
	findEntriesTimeout  = 5 * time.Second
	findEntriesInterval = 200 * time.Millisecond
)

// fetchEntries asks one entry for the addresses of the entries to use.
func (c *Caller) fetchEntries(ctx context.Context, entry string) ([]string, error) {
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
		return nil, fmt.Errorf("entry %s responded with status %d", entry, resp.StatusCode)
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

// Do sends a request to one of the entries whose addresses the system returns. It tries the
// next entry if this one cannot be reached, or if its response is cut off or is a stream
// that ends with an error.
func (c *Caller) Do(ctx context.Context, method, path string, body []byte, header http.Header) (Reply, error) {
	list, err := c.findEntries(ctx)
	if err != nil {
		return Reply{}, err
	}
	for _, e := range list {
		var r Reply
		if r, err = c.sendTo(ctx, e, method, path, body, header); err == nil {
			return r, nil
		}
	}
	return Reply{}, err
}

// PostTo posts a request to the given entry without asking the system for addresses.
func (c *Caller) PostTo(ctx context.Context, entry, path string, body []byte) (Reply, error) {
	return c.sendTo(ctx, entry, http.MethodPost, path, body, nil)
}

// sendTo sends a request to the given entry and reads the whole response.
func (c *Caller) sendTo(ctx context.Context, entry, method, path string, body []byte, header http.Header) (Reply, error) {
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
		var received bytes.Buffer
		err := engine.ReadStream(io.TeeReader(resp.Body, &received), resp.Header.Get(forward.HeaderRequestID), func(chunk engine.Chunk) error {
			if c.onChunk != nil {
				c.onChunk()
			}
			return r.appendChunk(chunk)
		})
		return r, streamError(err, received.Bytes())
	}
	r.Body, err = io.ReadAll(resp.Body)
	return r, err
}

// streamError returns the error of a stream whose reader returned err. If received contains
// an error event, the returned error has the result code of that event.
func streamError(err error, received []byte) error {
	_, event, found := bytes.Cut(received, []byte("event: error\ndata: "))
	if err == nil || !found {
		return err
	}
	event, _, _ = bytes.Cut(event, []byte("\n"))
	return result.New(Reply{Status: http.StatusBadGateway, Body: event}.Code(), "the stream ended with an error")
}

// appendChunk adds the text and the weight version of a chunk.
func (r *Reply) appendChunk(c engine.Chunk) error {
	r.Text += c.Text()
	if n := len(r.Versions); n == 0 || r.Versions[n-1] != c.WeightVersion {
		r.Versions = append(r.Versions, c.WeightVersion)
	}
	return nil
}

// Complete requests a streamed completion of prompt.
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

// RunStep opens a step and receives all its samples. If the owner of the step (the daemon
// that runs it) is lost, RunStep opens the step again with a higher attempt number. onSample
// is called with every sample and with every void position, which is one without a sample.
func (c *Caller) RunStep(ctx context.Context, service string, q rollout.StepRequest, onSample func(rollout.Sample)) error {
	for ; ; q.Attempt++ {
		if err := c.openStep(ctx, service, &q); err != nil {
			return err
		}
		done, err := c.receiveSamples(ctx, &q, onSample)
		if done || ctx.Err() != nil {
			return err
		}
	}
}

// postStep sends one request to open a step.
func (c *Caller) postStep(ctx context.Context, service string, body []byte) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Do(ctx, http.MethodPost, "/v1/services/"+service+"/steps", body, nil)
}

// openStep opens the step and retries transport errors and server errors. Every retry
// has the next attempt number.
func (c *Caller) openStep(ctx context.Context, service string, q *rollout.StepRequest) error {
	for ; ; q.Attempt++ {
		b, err := json.Marshal(q)
		if err != nil {
			return err
		}
		r, err := c.postStep(ctx, service, b)
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

// pollTimeout is how long a trainer waits for the response of an entry.
const pollTimeout = 5 * time.Second

// pollSamples requests the next samples of a step.
func (c *Caller) pollSamples(ctx context.Context, path string) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.Do(ctx, http.MethodGet, path, nil, nil)
}

// receiveSamples receives samples until the step is complete or its owner is lost. It
// returns false if the step must be opened again, and true after the last sample or an error.
func (c *Caller) receiveSamples(ctx context.Context, q *rollout.StepRequest, onSample func(rollout.Sample)) (bool, error) {
	for ctx.Err() == nil {
		path := fmt.Sprintf("/v1/steps/%s/samples?attempt=%d&after=%d&wait_ms=1000", q.ID, q.Attempt, q.Cursor)
		r, err := c.pollSamples(ctx, path)
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
			onSample(s)
		}
		q.Cursor = b.Cursor
		if b.Done {
			return true, nil
		}
	}
	return true, ctx.Err()
}
