package origin

import "github.com/apricotstream/apricotstream/internal/upstream"

// Origin is what generated the first part of a text. The zero value means that there is no
// text yet, which any upstream may begin.
type Origin struct {
	Service  string `json:"service"`
	Software string `json:"software,omitempty"` // as announced; empty if the upstreams state none
}

// Of returns the origin of a text that an upstream begins.
func Of(a upstream.Announcement) Origin { return Origin{Service: a.Service, Software: a.Software} }

// IsZero reports whether there is no text yet.
func (o Origin) IsZero() bool { return o == Origin{} }

// Allows reports whether an upstream may generate the rest of the text. An upstream that is
// silent may have started again with another version.
func (o Origin) Allows(a upstream.Announcement) bool {
	return o.AllowsConfirmed(a) && (o.IsZero() || !a.Silent)
}

// AllowsConfirmed reports whether an upstream may generate the rest of the text once it has
// confirmed that it is the start which announced a. A process has one software version, so a
// silent upstream that only lost its way to the daemons may.
func (o Origin) AllowsConfirmed(a upstream.Announcement) bool {
	return o.IsZero() || o.Software != upstream.SoftwareUnknown && Of(a) == o
}
