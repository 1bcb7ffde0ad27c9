package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
)

// entryList answers with the addresses that callers should use.
type entryList struct {
	Entries []entryAddress `json:"entries"` // best first
	TTLMS   int64          `json:"ttl_ms"`  // ask again after this
}

type entryAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// entriesRetry is the Retry-After while no entry is known: daemons find each other
// within a gossip period or two.
const entriesRetry = 500 * time.Millisecond

// entries answers GET /v1/entries?zone=Z.
func (g *Gateway) entries(c echo.Context) error {
	out := entryList{Entries: []entryAddress{}, TTLMS: g.AddressTTL.Milliseconds()}
	for _, d := range member.Entries(g.Members.Live(), c.QueryParam("zone")) {
		out.Entries = append(out.Entries, entryAddress{Address: d.CallerAddress, Zone: d.Zone})
	}
	if len(out.Entries) == 0 {
		return result.NewRetryAfter(result.NoEntry, entriesRetry, "no entry is known yet")
	}
	return c.JSON(http.StatusOK, out)
}
