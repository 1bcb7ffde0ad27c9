package strictini

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// CheckName returns an error unless v is a valid name of a daemon, zone, account or
// service: 1 to 63 lower-case letters, digits, dots and hyphens, beginning with a letter
// or digit.
func CheckName(v string) error {
	if !namePattern.MatchString(v) {
		return fmt.Errorf("not a name of 1 to 63 lower-case letters, digits, dots and hyphens")
	}
	return nil
}

// Name returns a setter for a name that CheckName accepts.
func Name(p *string) func(string) error {
	return func(v string) error {
		*p = v
		return CheckName(v)
	}
}

// Text returns a setter for any text.
func Text(p *string) func(string) error {
	return func(v string) error {
		*p = v
		return nil
	}
}

// OneOf returns a setter for one of the allowed words.
func OneOf(p *string, allowed ...string) func(string) error {
	return func(v string) error {
		if !slices.Contains(allowed, v) {
			return fmt.Errorf("not one of %s", strings.Join(allowed, ", "))
		}
		*p = v
		return nil
	}
}

// Bool returns a setter for true or false.
func Bool(p *bool) func(string) error {
	return func(v string) error {
		if v != "true" && v != "false" {
			return fmt.Errorf("not true or false")
		}
		*p = v == "true"
		return nil
	}
}

// Int returns a setter for a whole number within [lo, hi].
func Int(p *int, lo, hi int) func(string) error {
	return func(v string) error {
		x, err := strconv.Atoi(v)
		if err != nil || x < lo || x > hi {
			return fmt.Errorf("not a whole number from %d to %d", lo, hi)
		}
		*p = x
		return nil
	}
}

// Float returns a setter for a number within [lo, hi].
func Float(p *float64, lo, hi float64) func(string) error {
	return func(v string) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= lo && x <= hi) {
			return fmt.Errorf("not a number from %g to %g", lo, hi)
		}
		*p = x
		return nil
	}
}

// Duration returns a setter for a duration such as 500ms within [lo, hi].
func Duration(p *time.Duration, lo, hi time.Duration) func(string) error {
	return func(v string) error {
		x, err := time.ParseDuration(v)
		if err != nil || x < lo || x > hi {
			return fmt.Errorf("not a duration from %v to %v", lo, hi)
		}
		*p = x
		return nil
	}
}

// Address returns a setter for an IP:port. Host names and port 0 are rejected.
func Address(p *string) func(string) error {
	return func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil || a.Port() == 0 {
			return fmt.Errorf("not an IP:port")
		}
		*p = v
		return nil
	}
}

// Names returns a setter for a list of names separated by commas, each of which CheckName
// accepts.
func Names(p *[]string) func(string) error {
	return func(v string) error {
		var out []string
		for _, x := range strings.Split(v, ",") {
			x = strings.TrimSpace(x)
			if err := CheckName(x); err != nil {
				return fmt.Errorf("%q is %w", x, err)
			}
			out = append(out, x)
		}
		*p = out
		return nil
	}
}
