package document

import (
	"strings"

	"github.com/apricotstream/apricotstream/internal/strictini"
)

// Reference returns the description of every section and key of a service document.
func Reference() []strictini.SectionReference {
	list := []strictini.SectionReference{
		{Name: "service", Help: "Name, kind and owner of the service."},
		{Name: "weights", Help: "Staleness bound of samples. For model services only."},
		{Name: "route:NAME", Help: "A route: one method and path. A document must have at least one."},
		{Name: "account:NAME", Help: "Share, rate limit and priority of one client account. An account without such a section has the defaults."},
		{Name: "capacity", Help: "Number of upstreams that the service may have, and their cost."},
	}
	for i := range list {
		s := Service{}
		sec, err := s.section(exampleName(list[i].Name))
		if err != nil || sec == nil {
			panic("document: no section " + list[i].Name)
		}
		list[i].Section = sec
	}
	return list
}

// exampleName replaces the placeholder in a section name such as route:NAME by a name that
// section accepts.
func exampleName(name string) string {
	kind, _, named := strings.Cut(name, ":")
	if named {
		return kind + ":x"
	}
	return name
}
