package gateway

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/evacuation"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// EvacuationBody describes an evacuated availability zone.
type EvacuationBody struct {
	Zone      string `json:"zone"`
	Upstreams int    `json:"upstreams"` // live ones, which get nothing
}

// evacuationRoutes registers the operators' endpoints for evacuations.
func (g *Gateway) evacuationRoutes(e *echo.Echo) {
	e.PUT("/v1/zones/:zone/evacuation", func(c echo.Context) error { return g.evacuate(c, true) }, g.requireOperator)
	e.DELETE("/v1/zones/:zone/evacuation", func(c echo.Context) error { return g.evacuate(c, false) }, g.requireOperator)
	e.GET("/v1/evacuations", g.listEvacuations, g.requireOperator)
}

// evacuate sets whether a zone is evacuated.
func (g *Gateway) evacuate(c echo.Context, evacuated bool) error {
	began := time.Now()
	zone, err := pathParam(c, "zone")
	if err != nil {
		return err
	}
	cmd, err := evacuation.Command(member.CommonLevel(g.Members.Live()), zone, evacuated)
	if err != nil {
		return err
	}
	out, err := g.propose(c, cmd)
	g.Log.Info("Evacuation request finished.", "zone", zone, "evacuated", evacuated, "configuration", out.Version, "code", int(result.CodeOf(err)), "ms", time.Since(began).Milliseconds())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, out)
}

// pathParam returns a parameter of the path. The router takes parameters from the escaped path if
// the path has one.
func pathParam(c echo.Context, name string) (string, error) {
	v := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return v, nil
	}
	v, err := url.PathUnescape(v)
	if err != nil {
		return "", result.New(result.BodyMalformed, "%s: %v", name, err)
	}
	return v, nil
}

// listEvacuations answers GET /v1/evacuations with the evacuated zones, sorted.
func (g *Gateway) listEvacuations(c echo.Context) error {
	out := []EvacuationBody{}
	for zone := range g.View.Config().Evacuated {
		n := 0
		for _, a := range g.liveUpstreams() {
			if a.Zone == zone {
				n++
			}
		}
		out = append(out, EvacuationBody{Zone: zone, Upstreams: n})
	}
	slices.SortFunc(out, func(a, b EvacuationBody) int { return strings.Compare(a.Zone, b.Zone) })
	return c.JSON(http.StatusOK, out)
}

// liveUpstreams returns the live upstreams, those of evacuated zones included.
func (g *Gateway) liveUpstreams() []upstream.Announcement {
	return slices.DeleteFunc(slices.Clone(g.Directory.Listed()), func(a upstream.Announcement) bool { return a.Silent })
}
