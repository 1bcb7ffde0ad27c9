package routing

import (
	"time"
)

// Configuration is one version of all routes, services and client accounts. It is always
// replaced as a whole.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
	Accounts []Account `json:"accounts,omitempty"`
	Limits   Limits    `json:"limits"`
	// Keyed is set if the configuration lists accounts. Requests then need a key on
	// every route that is not open.
	Keyed bool `json:"keyed,omitempty"`
}

// Limits bounds what a caller may send on one connection. Zero means no limit.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes,omitempty"`
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout,omitempty"` // nanoseconds
	IdleTimeout   time.Duration `json:"idle_timeout,omitempty"`   // nanoseconds
}

// Account is a client account with the hashes of its keys.
type Account struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Priority overrides the priority of the route if it is set; 0 is the highest.
	Priority *int `json:"priority,omitempty"`
	// Homes names the only regions that may serve the requests of the account; empty: any. It
	// needs member.Level 2.
	Homes []string `json:"homes,omitempty"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name    string   `json:"name"`
	Engine  *Engine  `json:"engine,omitempty"`  // nil for a plain HTTP service
	Scaling *Scaling `json:"scaling,omitempty"` // nil if upstreams cannot be ordered
	// ColdPerS is the number of requests a second that a cold upstream takes from all daemons
	// together; 0 for no bound. It needs member.Level 1.
	ColdPerS float64 `json:"cold_per_s,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int      `json:"slots"` // number of concurrency slots
	Models []string `json:"models,omitempty"`
}

// Scaling bounds the number of upstreams that may be ordered in each availability zone.
type Scaling struct {
	Min        int                `json:"min"`
	Max        int                `json:"max"`
	Boot       time.Duration      `json:"boot"` // nanoseconds from an order until the upstream takes requests
	CheapPrice float64            `json:"cheap_price,omitempty"`
	ZonePrices map[string]float64 `json:"zone_prices,omitempty"` // by availability zone
}

// Service returns the service called name.
func (c *Configuration) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
