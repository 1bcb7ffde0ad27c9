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

// Key is an access key of a client account, or of an operator if Operator is set.
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
	Version uint64            `json:"version"` // number of accepted edits of this document
	Text    string            `json:"text"`
	Parsed  *document.Service `json:"-"`
}

// Weights is the newest published weight version of a service.
type Weights struct {
	Service   string    `json:"service"`
	Version   uint64    `json:"version"`
	Published time.Time `json:"published"`
}

// Config is the configuration that operators and trainers have set. It is immutable.
type Config struct {
	Version  uint64             `json:"version"` // number of accepted changes
	Accounts map[string]Account `json:"accounts"`
	Keys     map[string]Key     `json:"keys"` // by hash
	Services map[string]Service `json:"services"`
	Weights  map[string]Weights `json:"weights"` // by service
	// Routing replaces the routes of the services once an operator has set all routes
	// at once. It is nil until then.
	Routing *routing.Configuration `json:"routing,omitempty"`
	// ModelVersions holds the newest published weight version by model.
	ModelVersions map[string]uint64 `json:"model_versions,omitempty"`
	// Evacuated holds the evacuated availability zones. Without one it is left out of the
	// encoding, which builds below member.Level 1 can then read.
	Evacuated map[string]bool `json:"evacuated,omitempty"`
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

// KeyByID returns the key with this public ID.
func (c *Config) KeyByID(id string) (Key, bool) {
	for _, k := range c.Keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

// Parse fills in Service.Parsed of all services after decoding.
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

// next returns a shallow copy with the next version number.
func (c *Config) next() *Config {
	n := *c
	n.Version++
	return &n
}

// with returns a copy of m in which k maps to v.
func with[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	if m == nil {
		return map[K]V{k: v}
	}
	m = maps.Clone(m)
	m[k] = v
	return m
}

// without returns a copy of m that lacks k.
func without[K comparable, V any](m map[K]V, k K) map[K]V {
	m = maps.Clone(m)
	delete(m, k)
	return m
}
