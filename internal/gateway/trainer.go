package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Limits of trainers' requests.
const (
	maxStepBodyBytes    = 64 << 20
	maxSamplesPerRead   = 256
	maxPublishBodyBytes = 4 << 10
)

// stepBody is the response to the opening of a step.
type stepBody struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
	Epoch   uint64 `json:"epoch"`
	Total   int    `json:"total"`
	Cursor  int    `json:"cursor"`
	Done    bool   `json:"done"`
}

// ownedService returns the service of the request and the caller's key. It returns
// NotOwner unless the caller's account owns the service.
func (g *Gateway) ownedService(c echo.Context) (state.Service, state.Key, error) {
	k, err := g.authenticateClient(c.Request())
	if err != nil {
		return state.Service{}, k, err
	}
	s, ok := g.View.Config().Services[c.Param("service")]
	if !ok {
		return s, k, result.New(result.ServiceUnknown, "no service %s", c.Param("service"))
	}
	if s.Parsed.Owner != k.Account {
		return s, k, result.New(result.NotOwner, "the service belongs to another account")
	}
	return s, k, nil
}

// openStep answers POST /v1/services/:service/steps.
func (g *Gateway) openStep(c echo.Context) error {
	s, k, err := g.ownedService(c)
	if err != nil {
		return err
	}
	b, err := readBody(c, maxStepBodyBytes)
	if err != nil {
		return err
	}
	if err := g.holdStep(c, int64(len(b))); err != nil {
		return err
	}
	var q rollout.StepRequest
	if err := decodeJSON(b, &q); err != nil {
		return err
	}
	step, err := g.Rollouts.Open(c.Request().Context(), k.Account, s, q)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, stepBody{ID: q.ID, Attempt: step.Attempt, Epoch: step.Epoch, Total: step.Total, Cursor: step.Acked, Done: step.Done})
}

// readSamples answers GET /v1/steps/:id/samples with the samples after the cursor in the
// query parameter after. It waits up to wait_ms milliseconds for samples.
func (g *Gateway) readSamples(c echo.Context) error {
	k, err := g.authenticateClient(c.Request())
	if err != nil {
		return err
	}
	after, err := strconv.Atoi(c.QueryParam("after"))
	if err != nil || after < 0 {
		return result.New(result.BodyMalformed, "after must be a number of 0 or more")
	}
	attempt, err := strconv.ParseUint(c.QueryParam("attempt"), 10, 64)
	if err != nil {
		return result.New(result.BodyMalformed, "attempt must be the number from the opening of the step")
	}
	wait, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	ctx, end := g.sessions.Begin(c.Request().Context(), k)
	defer end()
	b, err := g.Rollouts.FetchSamples(ctx, rollout.FetchRequest{
		Step: rollout.StepID(k.Account, c.Param("id")), Attempt: attempt, After: after, Limit: maxSamplesPerRead,
		Wait: time.Duration(wait) * time.Millisecond,
	})
	if err != nil {
		return sessionCause(ctx, err)
	}
	return c.JSON(http.StatusOK, b)
}

// weightsBody is the request that publishes a weight version.
type weightsBody struct {
	Version uint64 `json:"version"`
}

// publishWeights answers POST /v1/services/:service/weights.
func (g *Gateway) publishWeights(c echo.Context) error {
	s, k, err := g.ownedService(c)
	if err != nil {
		return err
	}
	var q weightsBody
	if err := readJSON(c, maxPublishBodyBytes, &q); err != nil {
		return err
	}
	if q.Version == 0 {
		return result.New(result.BodyMalformed, "version must be above 0")
	}
	w := state.WeightsPut{Service: s.Name, Version: q.Version, Account: k.Account}
	out, err := g.propose(c, state.Command{WeightsPut: &w})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}
