package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/httpclient"
	"github.com/apricotstream/apricotstream/internal/result"
)

// requestTimeout bounds one request to an entry.
const requestTimeout = 8 * time.Second

// maxResponseBytes bounds the body of a response. The largest are lists of all services or
// upstreams.
const maxResponseBytes = 64 << 20

// entryClient holds the options of commands that call an entry, and sends their requests.
type entryClient struct {
	Entry   []string `long:"entry" env:"APRICOTSTREAM_ENTRY" env-delim:"," required:"true" value-name:"IP:PORT" description:"an entry; several are tried in turn"`
	KeyFile string   `long:"key-file" env:"APRICOTSTREAM_KEY_FILE" value-name:"FILE" description:"file with the operator key"`
	JSON    bool     `long:"json" description:"print JSON"`
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Code    result.Code `json:"code"`
		Message string      `json:"message"`
	} `json:"error"`
}

// do sends a request to the entries in order until one can run it, and decodes the
// response into out. All attempts carry the same operation id, so that a change is made
// at most once. An error of the request itself, such as an unknown key, is returned at
// once. When no entry is left and an attempt may have made the change, the error has the
// code CommitUnknown and contains the operation id.
func (c *entryClient) do(method, path string, body []byte, out any) error {
	op := uuid.NewString()
	var last error
	unknown := false
	for _, e := range c.Entry {
		err := c.tryEntry(e, op, method, path, body, out)
		if err == nil {
			return nil
		}
		last = err
		switch result.CodeOf(err) {
		case result.CommitUnknown:
			unknown = true
			continue
		case result.UpstreamUnreached, result.NotFresh, result.NoQuorum, result.Draining:
			continue
		}
		return err
	}
	if unknown {
		return result.New(result.CommitUnknown, "operation %s: %s", op, result.From(last).Message)
	}
	return last
}

// tryEntry sends the request to one entry. The error has the code UpstreamUnreached when
// no connection was made, CommitUnknown when there is no complete response, and otherwise
// the code of the response, or Internal if the response has none.
func (c *entryClient) tryEntry(entry, op, method, path string, body []byte, out any) error {
	req, err := http.NewRequest(method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.KeyFile != "" {
		key, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return result.New(result.SettingInvalid, "cannot read the key file: %v", err)
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}
	req.Header.Set("Operation-Id", op)
	client := &http.Client{Timeout: requestTimeout, Transport: httpclient.DefaultTransport}
	resp, err := client.Do(req)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return result.New(result.UpstreamUnreached, "entry %s: %v", entry, err)
	}
	if err != nil {
		return result.New(result.CommitUnknown, "entry %s: %v", entry, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return result.New(result.CommitUnknown, "entry %s: %v", entry, err)
	}
	if len(b) > maxResponseBytes {
		return result.New(result.CommitUnknown, "entry %s: the response is larger than %d bytes", entry, maxResponseBytes)
	}
	if resp.StatusCode >= 300 {
		var e errorResponse
		if json.Unmarshal(b, &e) != nil || e.Error.Code == result.OK {
			return result.New(result.Internal, "entry %s answered with status %d and no result code", entry, resp.StatusCode)
		}
		return result.New(e.Error.Code, "%s", e.Error.Message)
	}
	if out == nil || len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, out)
}

// doJSON calls do with v, encoded as JSON, as the body.
func (c *entryClient) doJSON(method, path string, v, out any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.do(method, path, b, out)
}

// print writes v to w as JSON with the option --json; otherwise it calls text.
func (c *entryClient) print(w io.Writer, v any, text func()) error {
	if !c.JSON {
		text()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(w, string(b))
	return nil
}
