package settings

import (
	"fmt"
	"strings"

	"github.com/apricotstream/apricotstream/internal/strictini"
)

// addressListSetter returns a setter for a list of IP:port separated by commas.
func addressListSetter(p *[]string) func(string) error {
	return func(v string) error {
		var out []string
		for _, x := range strings.Split(v, ",") {
			var a string
			if err := strictini.Address(&a)(strings.TrimSpace(x)); err != nil {
				return fmt.Errorf("%q is %w", x, err)
			}
			out = append(out, a)
		}
		*p = out
		return nil
	}
}
