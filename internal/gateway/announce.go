package gateway

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// announce answers POST /upstream/v1/announce. A fresh entry rejects announcements of
// unknown services.
func (g *Gateway) announce(c echo.Context) error {
	var a upstream.Announcement
	if err := readJSON(c, maxAnnouncementBytes, &a); err != nil {
		return err
	}
	if g.View.Fresh() {
		if _, ok := g.View.Config().Services[a.Service]; !ok {
			return result.New(result.ServiceUnknown, "no service %s", a.Service)
		}
	}
	if err := g.Directory.Announce(a); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
