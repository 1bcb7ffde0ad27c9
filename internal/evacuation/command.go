package evacuation

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

const (
	// minLevel is the level of the control log from which on replicas can read evacuations,
	// see member.Level.
	minLevel = 1
	// levelRetryAfter is the delay that an operator is told while a daemon of an older build is
	// up. Upgrading it takes longer, but the call is cheap.
	levelRetryAfter = 2 * time.Second
)

// Command returns the command that sets whether a zone is evacuated. level is the level that all
// known daemons can read. Errors: BodyMalformed for a name that no zone may have; NoQuorum while
// a daemon of an older build is up, whose replica the command would stop.
func Command(level int, zone string, evacuated bool) (state.Command, error) {
	if err := state.CheckZone(zone); err != nil {
		return state.Command{}, err
	}
	if level < minLevel {
		return state.Command{}, result.NewRetryAfter(result.NoQuorum, levelRetryAfter, "a daemon of an older build is up that cannot read evacuations: level %d instead of %d", level, minLevel)
	}
	return state.Command{EvacuationPut: &state.EvacuationPut{Zone: zone, Evacuated: evacuated}}, nil
}
