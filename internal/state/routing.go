package state

import (
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
)

// RoutingPut replaces all routes, services and client accounts at once. The operator sets
// the version. The highest version wins; an equal or lower one succeeds and changes
// nothing.
type RoutingPut struct {
	Configuration *routing.Configuration `json:"configuration"`
	Source        string                 `json:"source,omitempty"` // the document as the operator sent it
}

// VersionPut records that a trainer published a weight version of a model.
type VersionPut struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// RoutingSource holds the document of the active routing configuration.
type RoutingSource struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func (c *Config) routingPut(p *RoutingPut) (*Config, Outcome) {
	if err := p.Configuration.Validate(); err != nil {
		return nil, reject(result.DocumentInvalid, result.From(err).Message)
	}
	if c.Routing != nil && p.Configuration.Version <= c.Routing.Version {
		return nil, Outcome{Version: c.Routing.Version}
	}
	n := c.next()
	n.Routing = p.Configuration
	return n, Outcome{Version: p.Configuration.Version}
}

func (c *Config) versionPut(p *VersionPut) (*Config, Outcome) {
	if p.Model == "" || p.Version == 0 {
		return nil, reject(result.BodyMalformed, "a model and a version above 0 are needed")
	}
	if p.Version <= c.ModelVersions[p.Model] {
		return nil, Outcome{Version: c.ModelVersions[p.Model]}
	}
	n := c.next()
	n.ModelVersions = with(c.ModelVersions, p.Model, p.Version)
	return n, Outcome{Version: p.Version}
}

// WithoutRoutingSource returns c without the source document of a RoutingPut, which only
// the replicas store.
func (c Command) WithoutRoutingSource() Command {
	if c.RoutingPut != nil {
		p := *c.RoutingPut
		p.Source = ""
		c.RoutingPut = &p
	}
	return c
}
