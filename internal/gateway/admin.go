package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/account"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/strictini"
)

// headerOperation is the request header with the ID of an operator's change. A change
// that is sent again with the same ID is applied once.
const headerOperation = "Operation-Id"

// Limits of operators' requests.
const (
	adminTimeout      = 5 * time.Second
	statusTimeout     = 2 * time.Second // short, because operators also need the status when no leader answers
	maxAdminBodyBytes = 64 << 10
	maxDocumentBytes  = 1 << 20
)

// adminRoutes registers the operators' endpoints.
func (g *Gateway) adminRoutes(a *echo.Group) {
	a.GET("/status", g.status)
	a.GET("/accounts", g.listAccounts)
	a.POST("/accounts", g.createAccount)
	a.DELETE("/accounts/:name", g.removeAccount)
	a.GET("/keys", g.listKeys)
	a.POST("/keys", g.createKey)
	a.DELETE("/keys/:id", g.withdrawKey)
	a.GET("/services", g.listServices)
	a.GET("/services/:service", g.getService)
	a.PUT("/services/:service", g.putService)
	a.GET("/services/:service/history", g.serviceHistory)
	a.GET("/upstreams", func(c echo.Context) error { return c.JSON(http.StatusOK, g.liveUpstreams()) })
	a.GET("/orders", g.listOrders)
	a.GET("/windows", g.listWindows)
	a.GET("/members", g.readMembers)
	a.POST("/members", g.changeMembers)
	a.GET("/quarantine", func(c echo.Context) error { return c.JSON(http.StatusOK, g.Quarantine.List()) })
	a.DELETE("/quarantine/:fingerprint", g.releaseQuarantine)
	a.GET("/traces/:request", func(c echo.Context) error {
		return c.JSON(http.StatusOK, g.Tracing.Ring.RequestSpans(c.Param("request")))
	})
}

// propose commits a command, with the operation ID of the request if it has one. A
// command that the state rejects is an error.
func (g *Gateway) propose(c echo.Context, cmd state.Command) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	cmd.Op = c.Request().Header.Get(headerOperation)
	out, err := g.Control.Propose(ctx, cmd)
	if err != nil {
		return out, err
	}
	return out, out.Err()
}

// status answers GET /admin/v1/status. If no leader answers, the response has an error in
// place of the members of the control group.
func (g *Gateway) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
	defer cancel()
	s := StatusBody{
		Daemon: g.Daemon, Zone: g.Zone, Fresh: g.View.Fresh(), ConfigVersion: g.View.Config().Version,
		Daemons: g.Members.Live(), Upstreams: len(g.liveUpstreams()), InFlight: g.drain.InFlight(),
	}
	if m, err := g.Control.Members(ctx, control.MembersRequest{}); err == nil {
		s.Group = &m
	} else {
		s.GroupError = result.From(err).Message
	}
	return c.JSON(http.StatusOK, s)
}

func (g *Gateway) listAccounts(c echo.Context) error {
	var out []state.Account
	for _, a := range g.View.Config().Accounts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b state.Account) int { return strings.Compare(a.Name, b.Name) })
	return c.JSON(http.StatusOK, out)
}

func (g *Gateway) createAccount(c echo.Context) error {
	var q state.AccountCreate
	if err := readJSON(c, maxAdminBodyBytes, &q); err != nil {
		return err
	}
	if err := strictini.CheckName(q.Name); err != nil {
		return result.New(result.BodyMalformed, "account: %v", err)
	}
	out, err := g.propose(c, state.Command{AccountCreate: &q})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, out)
}

func (g *Gateway) removeAccount(c echo.Context) error {
	out, err := g.propose(c, state.Command{AccountRemove: &state.AccountRemove{Name: c.Param("name")}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

func (g *Gateway) listKeys(c echo.Context) error {
	var out []KeyBody
	for _, k := range g.View.Config().Keys {
		out = append(out, KeyBody{ID: k.ID, Account: k.Account, Operator: k.Operator, Withdrawn: k.Withdrawn})
	}
	slices.SortFunc(out, func(a, b KeyBody) int { return strings.Compare(a.ID, b.ID) })
	return c.JSON(http.StatusOK, out)
}

// createKey registers a key by its hash. The client generates the key, so that the key
// itself isn't sent to the system before its first use.
func (g *Gateway) createKey(c echo.Context) error {
	var q state.KeyCreate
	if err := readJSON(c, maxAdminBodyBytes, &q); err != nil {
		return err
	}
	if !account.ValidHash(q.Hash) || (q.Account == "") != q.Operator {
		return result.New(result.BodyMalformed, "a key needs its SHA-256 hash in hex, and an account or operator=true")
	}
	if _, err := g.propose(c, state.Command{KeyCreate: &q}); err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, KeyBody{ID: account.ID(q.Hash), Account: q.Account, Operator: q.Operator})
}

func (g *Gateway) withdrawKey(c echo.Context) error {
	out, err := g.propose(c, state.Command{KeyWithdraw: &state.KeyWithdraw{ID: c.Param("id")}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

func (g *Gateway) listServices(c echo.Context) error {
	var out []ServiceBody
	for _, s := range g.View.Config().Services {
		out = append(out, ServiceBody{Name: s.Name, Version: s.Version})
	}
	slices.SortFunc(out, func(a, b ServiceBody) int { return strings.Compare(a.Name, b.Name) })
	return c.JSON(http.StatusOK, out)
}

func (g *Gateway) getService(c echo.Context) error {
	s, ok := g.View.Config().Services[c.Param("service")]
	if !ok {
		return result.New(result.ServiceUnknown, "no service %s", c.Param("service"))
	}
	return c.JSON(http.StatusOK, ServiceBody{Name: s.Name, Version: s.Version, Text: s.Text})
}

// putService replaces a service document. The request body is the document. The query
// parameter version is its version number, which must be the current one plus one.
func (g *Gateway) putService(c echo.Context) error {
	b, err := readBody(c, maxDocumentBytes)
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil {
		return result.New(result.BodyMalformed, "version must be the current version plus one")
	}
	name := c.Param("service")
	if _, err := document.Parse(name, string(b)); err != nil {
		return err
	}
	put := state.ServicePut{Name: name, Version: version, Text: string(b)}
	out, err := g.propose(c, state.Command{ServicePut: &put})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

// query reads from the control log within adminTimeout.
func (g *Gateway) query(c echo.Context, q control.QueryRequest) (control.QueryReply, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	return g.Control.Query(ctx, q)
}

func (g *Gateway) serviceHistory(c echo.Context) error {
	r, err := g.query(c, control.QueryRequest{History: c.Param("service")})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, r.History)
}

func (g *Gateway) listOrders(c echo.Context) error {
	r, err := g.query(c, control.QueryRequest{Orders: true})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, r.Orders)
}

func (g *Gateway) listWindows(c echo.Context) error {
	r, err := g.query(c, control.QueryRequest{Windows: true})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, r.Windows)
}

// sendMembersRequest reads or changes the members of the control group and writes the
// result as the response.
func (g *Gateway) sendMembersRequest(c echo.Context, q control.MembersRequest) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	m, err := g.Control.Members(ctx, q)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, m)
}

func (g *Gateway) readMembers(c echo.Context) error {
	return g.sendMembersRequest(c, control.MembersRequest{})
}

func (g *Gateway) changeMembers(c echo.Context) error {
	var q control.MembersRequest
	if err := readJSON(c, maxAdminBodyBytes, &q); err != nil {
		return err
	}
	return g.sendMembersRequest(c, q)
}

func (g *Gateway) releaseQuarantine(c echo.Context) error {
	if !g.Quarantine.Release(c.Param("fingerprint")) {
		return result.New(result.NotFound, "no such quarantined request")
	}
	return c.NoContent(http.StatusNoContent)
}
