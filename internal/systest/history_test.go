package systest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// edit is an operation on one item, which is a document or a key.
type edit struct {
	item    string
	kind    string // put, read, create or withdraw
	version uint64
	text    string
}

// editResult is the result of an edit. unknown is true if no response told the outcome.
type editResult struct {
	code    result.Code
	unknown bool
	version uint64
	text    string
}

// itemState is the state of a document with its version, or of a key. The version of a key
// is 0 if it does not exist, 1 if it is active and 2 if it has been withdrawn.
type itemState struct {
	version uint64
	text    string
}

// apply reports whether the model allows the result out of an edit in state s, and returns
// the state after the edit.
func (s itemState) apply(in edit, out editResult) (bool, itemState) {
	next, code := s, result.OK
	switch in.kind {
	case "read":
		return out.version == s.version && out.text == s.text, s
	case "put":
		next = itemState{in.version, in.text}
		if in.version != s.version+1 {
			next, code = s, result.VersionConflict
		}
	case "create":
		next.version = 1
		if s.version > 0 {
			next, code = s, result.AlreadyExists
		}
	case "withdraw":
		next.version = 2
		if s.version == 0 {
			next, code = s, result.NotFound
		}
	}
	return out.unknown || out.code == code, next
}

// editModel is the sequential model of documents and keys that the history is checked against.
var editModel = porcupine.Model{
	Partition: testkit.ByItem(func(in edit) string { return in.item }),
	Init:      func() any { return itemState{} },
	Step: func(s, in, out any) (bool, any) {
		return s.(itemState).apply(in.(edit), out.(editResult))
	},
}

// operator sends edits. It resends each edit with the same Operation-Id until a response
// tells its outcome or a random number of attempts has been made.
type operator struct {
	c       *cluster
	id      int
	key     string
	rnd     *rand.Rand
	start   time.Time
	history *[]porcupine.Operation
	mu      *sync.Mutex
}

const (
	maxEditAttempts = 4 // the maximum of the random number of attempts of an edit
	editTimeout     = 1500 * time.Millisecond
)

// perform sends an edit and returns its result. It adds the edit to the history unless the
// edit certainly did not run or is a read with an unknown outcome.
func (o *operator) perform(in edit, method, path string, body []byte) editResult {
	call := time.Since(o.start)
	op := uuid.NewString()
	out := editResult{code: result.NoQuorum}
	for range 1 + o.rnd.IntN(maxEditAttempts) {
		var code result.Code
		code, out = o.sendOnce(op, method, path, body, out)
		if final := code == result.OK || code == result.VersionConflict || code == result.AlreadyExists || code == result.NotFound; final {
			out.code, out.unknown = code, false
			break
		}
		if code.Info().Class != result.NotRun {
			out.unknown = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	returnTime := int64(time.Since(o.start))
	switch {
	case out.unknown:
		returnTime = math.MaxInt64 // the edit may take effect at any time
	case out.code == result.NoQuorum:
		return out // rejected as not run, so it must have no effect
	}
	if in.kind != "read" || !out.unknown {
		*o.history = append(*o.history, porcupine.Operation{ClientId: o.id, Input: in, Call: int64(call), Output: out, Return: returnTime})
	}
	return out
}

// sendOnce sends a request to a random entry. It returns the result code, which is Internal
// without a response, and out with the version and the text that a read returned.
func (o *operator) sendOnce(op, method, path string, body []byte, out editResult) (result.Code, editResult) {
	req, _ := http.NewRequest(method, "http://"+o.c.entry(1+o.rnd.IntN(daemons))+path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+o.key)
	req.Header.Set("Operation-Id", op)
	client := http.Client{Timeout: editTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result.Internal, out
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return result.Internal, out
	}
	if resp.StatusCode >= 300 {
		var errorBody struct{ Error result.Error }
		_ = json.Unmarshal(b, &errorBody)
		return errorBody.Error.Code, out
	}
	var edits []state.Edit
	if method == http.MethodGet && json.Unmarshal(b, &edits) == nil && len(edits) > 0 {
		last := edits[len(edits)-1]
		out.version, out.text = last.Version, last.Text
	}
	return result.OK, out
}

// run edits documents, and creates and withdraws keys, until stop is closed. Different
// operators may send edits with the same version number.
func (o *operator) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		service := fmt.Sprintf("s%d", o.rnd.IntN(2))
		path := "/admin/v1/services/" + service
		current := o.perform(edit{item: service, kind: "read"}, http.MethodGet, path+"/history", nil)
		if current.code == result.OK && !current.unknown {
			text := fmt.Sprintf("[service]\nname = %s\nkind = plain\nowner = owner\n\n[route:r%dx%d]\npath = /x\n", service, o.id, n)
			put := edit{item: service, kind: "put", version: current.version + 1, text: text}
			o.perform(put, http.MethodPut, fmt.Sprintf("%s?version=%d", path, put.version), []byte(text))
		}
		hash := account.Hash(fmt.Sprintf("key %d", o.rnd.IntN(40)))
		key := edit{item: hash, kind: "withdraw"}
		if o.rnd.IntN(2) == 0 {
			o.perform(key, http.MethodDelete, "/admin/v1/keys/"+account.ID(hash), nil)
			continue
		}
		key.kind = "create"
		body, _ := json.Marshal(state.KeyCreate{Hash: hash, Account: "owner"})
		o.perform(key, http.MethodPost, "/admin/v1/keys", body)
	}
}

// Operators concurrently send edits with equal version numbers and resend them after lost
// responses, while leaders are isolated, killed and frozen. The history of all operations
// must be linearizable.
func TestEditsAreLinearizable(t *testing.T) {
	c := newCluster(t, "")
	c.runOperator("account", "create", "owner")
	key, err := os.ReadFile(c.path("operator.key"))
	c.g.Expect(err).NotTo(HaveOccurred())
	var history []porcupine.Operation
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop, start := make(chan struct{}), time.Now()
	for i := range 5 {
		o := &operator{c: c, id: i, key: strings.TrimSpace(string(key)), rnd: rand.New(rand.NewPCG(uint64(i), 1)), start: start, history: &history, mu: &mu}
		wg.Go(func() { o.run(stop) })
	}
	leader := func() (l int) {
		c.g.Eventually(func() int { l = max(c.leader(4), c.leader(5)); return l }, 20*time.Second, 50*time.Millisecond).ShouldNot(BeZero())
		return l
	}
	faults := []struct{ begin, end func(int) }{{c.isolate, c.heal}, {c.kill, c.start}, {c.freeze, c.unfreeze}}
	for _, f := range faults {
		time.Sleep(time.Second)
		l := leader()
		f.begin(l)
		time.Sleep(2500 * time.Millisecond)
		f.end(l)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	unknown, accepted, conflicts := 0, 0, 0
	for _, o := range history {
		out := o.Output.(editResult)
		switch {
		case out.unknown:
			unknown++
		case o.Input.(edit).kind == "put" && out.code == result.OK:
			accepted++
		case out.code == result.VersionConflict:
			conflicts++
		}
	}
	t.Logf("%d operations, %d unknown, %d document edits accepted, %d version conflicts", len(history), unknown, accepted, conflicts)
	c.g.Expect(accepted).To(BeNumerically(">", 0))
	c.g.Expect(conflicts).To(BeNumerically(">", 0))
	c.g.Expect(porcupine.CheckOperationsTimeout(editModel, history, time.Minute)).To(Equal(porcupine.Ok))
}
