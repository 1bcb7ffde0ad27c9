package strictini

import (
	"fmt"
	"strings"
)

// Described is a section with its documentation.
type Described struct {
	Name    string // as in the file; NAME where a name is to be set
	Help    string
	Section *Section
}

// Markdown renders the reference of a file format.
func Markdown(sections []Described) string {
	var b strings.Builder
	for _, d := range sections {
		fmt.Fprintf(&b, "## [%s]\n\n%s\n\n| key | default | meaning |\n|---|---|---|\n", d.Name, d.Help)
		for _, k := range d.Section.Keys {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", k.Name, k.shownDefault(), k.Help)
		}
		b.WriteString("\n")
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func (k Key) shownDefault() string {
	switch {
	case k.Required:
		return "(required)"
	case k.Default == "":
		return "(empty)"
	}
	return k.Default
}
