package control

import (
	"encoding/json"
	"sync"

	"github.com/apricotstream/apricotstream/internal/state"
)

// Change is one committed change of the configuration. Its JSON form is made once: when a
// large configuration changes, a replica sends it to all its followers at the same moment.
type Change struct {
	Version uint64
	Command state.Command

	encoded func() ([]byte, error) // nil in a change that was decoded
}

// changeJSON is the JSON form of a Change.
type changeJSON struct {
	Version uint64        `json:"version"`
	Command state.Command `json:"command"`
}

func newChange(version uint64, c state.Command) Change {
	return Change{Version: version, Command: c, encoded: sync.OnceValues(func() ([]byte, error) { return json.Marshal(changeJSON{version, c}) })}
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	if c.encoded == nil {
		return json.Marshal(changeJSON{c.Version, c.Command})
	}
	return c.encoded()
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Change) UnmarshalJSON(b []byte) error {
	var x changeJSON
	err := state.UnmarshalStrict(b, &x) // an entry must not take a change for none
	*c = Change{Version: x.Version, Command: x.Command}
	return err
}
