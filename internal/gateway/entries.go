package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
)

// entryList is the answer with the addresses that callers should use.
type entryList struct {
	Entries []entryAddress `json:"entries"` // best first
	TTLMS   int64          `json:"ttl_ms"`  // milliseconds until callers should ask again
}

type entryAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// noEntryRetryAfter is the Retry-After while no entry is known. Daemons find each other
// within one or two gossip periods.
const noEntryRetryAfter = 500 * time.Millisecond

// entries answers GET /v1/entries?zone=Z. It returns NoEntry if no entry is known.
func (g *Gateway) entries(c echo.Context) error {
	out := entryList{Entries: []entryAddress{}, TTLMS: g.AddressTTL.Milliseconds()}
	for _, d := range member.Entries(g.Members.Live(), c.QueryParam("zone")) {
		out.Entries = append(out.Entries, entryAddress{Address: d.CallerAddress, Zone: d.Zone})
	}
	if len(out.Entries) == 0 {
		return result.NewRetryAfter(result.NoEntry, noEntryRetryAfter, "no entry is known yet")
	}
	return c.JSON(http.StatusOK, out)
}
