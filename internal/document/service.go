package document

import (
	"time"
)

// Kind of a service.
const (
	// KindModel is a service of model engines with an OpenAI-compatible interface.
	KindModel = "model"
	// KindPlain is an ordinary HTTP service.
	KindPlain = "plain"
)

// Access of a route.
const (
	// AccessKeyed requires the key of a client account.
	AccessKeyed = "keyed"
	// AccessOpen requires no key.
	AccessOpen = "open"
)

// Service is the content of one service document.
type Service struct {
	Name     string
	Kind     string
	Owner    string // client account whose trainers publish weights and open steps
	Routes   []Route
	Accounts []Account
	Capacity Capacity

	Staleness int // maximum of the newest published version minus a sample's oldest version
}

// Route is one method and path of a service.
type Route struct {
	Name       string
	Method     string
	Path       string // matched exactly; a prefix when it ends in /
	Access     string
	Idempotent bool
	Timeout    time.Duration
	BodyLimit  int // bytes
}

// Account holds the share, rate limit and priority of one client account at this service.
// An account without a section in the document has weight 1 and no limit.
type Account struct {
	Name     string
	Weight   float64 // share under contention, relative to the others
	Limit    float64 // rate limit in cost units a second; 0: none
	Priority int     // engine priority; lower is served first
}

// Capacity bounds the number and the cost of the upstreams of a service.
type Capacity struct {
	Zones       []string
	Floor       int     // minimum number of regular upstreams in each zone
	Ceiling     int     // maximum number of upstreams in each zone
	CheapShare  float64 // target share of cheap upstreams, 0 to 1
	SpendingCap float64 // maximum money an hour for ordered upstreams
	PriceCheap  float64 // money an hour for a cheap upstream
	Price       float64 // money an hour for a regular upstream
	Concurrency int     // requests that one upstream runs concurrently
	// StartLimit is the maximum time from the acceptance of an order until its upstream
	// announces itself.
	StartLimit time.Duration
}

// Account returns the settings of the named client account, or the defaults when the
// document has no section for it.
func (s *Service) Account(name string) Account {
	for _, a := range s.Accounts {
		if a.Name == name {
			return a
		}
	}
	return Account{Name: name, Weight: 1, Priority: defaultPriority}
}
