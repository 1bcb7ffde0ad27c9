package state

import (
	"maps"
	"time"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/routing"
)

// Account is a client account.
type Account struct {
	Name    string    `json:"name"`
	Created time.Time `json:"created"`
}

// Key gives access to a client account, or to operations when Operator is set.
type Key struct {
	ID        string `json:"id"`
	Hash      string `json:"hash"`
	Account   string `json:"account,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Service is one active service document.
type Service struct {
	Name    string            `json:"name"`
	Version uint64            `json:"version"` // counts this document's accepted edits
	Text    string            `json:"text"`
	Parsed  *document.Service `json:"-"`
}

// Weights is the newest published weight version of a service.
type Weights struct {
	Service   string    `json:"service"`
	Version   uint64    `json:"version"`
	Published time.Time `json:"published"`
}

// Config is an immutable view of what operators and trainers have set.
type Config struct {
	Version  uint64             `json:"version"` // counts all accepted changes
	Accounts map[string]Account `json:"accounts"`
	Keys     map[string]Key     `json:"keys"` // by hash
	Services map[string]Service `json:"services"`
	Weights  map[string]Weights `json:"weights"` // by service
	// Routing replaces services' routes where operators set all routes at once;
	// nil until they do.
	Routing *routing.Configuration `json:"routing,omitempty"`
	// ModelVersions holds the newest published weight version by model.
	ModelVersions map[string]uint64 `json:"model_versions,omitempty"`
}

// NewConfig returns an empty configuration.
func NewConfig() *Config {
	return &Config{
		Accounts: map[string]Account{},
		Keys:     map[string]Key{},
		Services: map[string]Service{},
		Weights:  map[string]Weights{},

		ModelVersions: map[string]uint64{},
	}
}

// KeyByID finds a key by its public name.
func (c *Config) KeyByID(id string) (Key, bool) {
	for _, k := range c.Keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

// Parse fills in the parsed documents after decoding.
func (c *Config) Parse() error {
	for name, s := range c.Services {
		p, err := document.Parse(name, s.Text)
		if err != nil {
			return err
		}
		s.Parsed = p
		c.Services[name] = s
	}
	return nil
}

// next returns a shallow copy with the following version number.
func (c *Config) next() *Config {
	n := *c
	n.Version++
	return &n
}

func with[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	if m == nil {
		return map[K]V{k: v}
	}
	m = maps.Clone(m)
	m[k] = v
	return m
}

func without[K comparable, V any](m map[K]V, k K) map[K]V {
	m = maps.Clone(m)
	delete(m, k)
	return m
}
