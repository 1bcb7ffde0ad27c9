package takeup

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// Methods between daemons.
const (
	// MethodKeep is the notice by which an entry tells the keepers of its streams:
	// []SentRecord.
	MethodKeep = "takeup.keep"
	// MethodFind asks a keeper for a record: FindRequest -> FindReply.
	MethodFind = "takeup.find"
)

// FindRequest asks for the record of a stream.
type FindRequest struct {
	Key []byte `json:"key"`
}

// FindReply contains the record; without one, the daemon does not know the stream.
type FindReply struct {
	Record *SentRecord `json:"record,omitempty"`
}

// AskOver returns a Deployment's Ask that calls the other daemons through c.
func AskOver(c *peer.Client) func(context.Context, string, FindRequest) (FindReply, error) {
	return func(ctx context.Context, address string, q FindRequest) (FindReply, error) {
		return peer.Call[FindReply](ctx, c, address, MethodFind, q)
	}
}
