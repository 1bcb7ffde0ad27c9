package configcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/routing"
)

// Severity says what a finding means for the configuration.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // daemons reject the configuration
	Warning Severity = "warning" // daemons accept it, but a part of it cannot work as written
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity         `json:"severity"`
	Code     string           `json:"code"` // stable name of the kind of fault
	Location routing.Location `json:"-"`
	Message  string           `json:"message"` // the fault, and what to do about it
}

// Bounds holds what entries do whatever the configuration says. Of a zero value nothing is checked.
type Bounds struct {
	HeaderBytes   int               // size up to which they read the header of a request
	HeaderTimeout time.Duration     // after which they close a connection whose header is incomplete
	IdleTimeout   time.Duration     // after which they close a connection without a request
	Memory        int64             // bytes that the process of the smallest entry may use
	Zones         map[string]string // region of each availability zone
	JobPrefixes   []string          // paths of calls about batch jobs on hosts that take these
}

// rules are the checks of a configuration that daemons accept. Each returns warnings.
var rules = []func(*routing.Configuration, Bounds) []Finding{
	noRoutes, impossibleHosts, hostPatterns, hiddenByJobCalls, unusedSplits, targetAboveTimeout, itemTTLs, runDeadlines, negativeRouteTimes,
	unusedServices, scalingRanges, negativeServiceNumbers,
	accountsWithoutKey, emptyKeys, noUsableKey, unusedAccounts,
	homesWithoutUpstreams, disjointHomes,
	bodyBelowHeader, bodyAboveMemory, limitsAboveEntry, negativeLimits,
}

// Check returns an error for each of the problems for which daemons reject a configuration, and then
// the warnings. c is nil if the document could not be decoded.
func Check(c *routing.Configuration, problems []routing.Problem, b Bounds) []Finding {
	var out []Finding
	if c != nil && len(b.Zones) > 0 {
		problems = append(slices.Clone(problems), c.UnknownRegions(routing.RegionsOf(b.Zones))...)
	}
	for _, p := range problems {
		out = append(out, Finding{Severity: Error, Code: p.Code, Location: p.Location, Message: p.Message})
	}
	if c == nil {
		return out
	}
	for _, rule := range rules {
		out = append(out, rule(c, b)...)
	}
	return out
}

// Worst returns the severity of the most severe finding, "" if there is none.
func Worst(list []Finding) Severity {
	worst := Severity("")
	for _, f := range list {
		if f.Severity == Error {
			return Error
		}
		worst = f.Severity
	}
	return worst
}

func warning(at routing.Location, code, format string, args ...any) Finding {
	return Finding{Severity: Warning, Code: code, Location: at, Message: fmt.Sprintf(format, args...)}
}

// eachRoute returns the findings of f for all routes.
func eachRoute(c *routing.Configuration, f func(at routing.Location, r *routing.Route) []Finding) []Finding {
	var out []Finding
	for i := range c.Routes {
		out = append(out, f(routing.At("routes", i), &c.Routes[i])...)
	}
	return out
}
