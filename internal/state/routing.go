package state

import (
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
)

// RoutingPut replaces routes, services and client accounts as a whole under the
// operator's version. The highest version wins; an equal or lower one succeeds
// and changes nothing.
type RoutingPut struct {
	Configuration *routing.Configuration `json:"configuration"`
	Source        string                 `json:"source,omitempty"` // document as the operator sent it
}

// VersionPut records that a trainer published a version of a model's weights.
type VersionPut struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// RoutingSource is the document of the active routing configuration.
type RoutingSource struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func (c *Config) routingPut(p *RoutingPut) (*Config, Outcome) {
	if err := p.Configuration.Validate(); err != nil {
		return nil, refuse(result.DocumentInvalid, result.From(err).Message)
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
		return nil, refuse(result.BodyMalformed, "a model and a version above 0 are needed")
	}
	if p.Version <= c.ModelVersions[p.Model] {
		return nil, Outcome{Version: c.ModelVersions[p.Model]}
	}
	n := c.next()
	n.ModelVersions = with(c.ModelVersions, p.Model, p.Version)
	return n, Outcome{Version: p.Version}
}

// Slim returns c without what only replicas keep.
func (c Command) WithoutRoutingSource() Command {
	if c.RoutingPut != nil {
		p := *c.RoutingPut
		p.Source = ""
		c.RoutingPut = &p
	}
	return c
}
