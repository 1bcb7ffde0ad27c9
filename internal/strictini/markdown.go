package strictini

import (
	"fmt"
	"strings"
)

// SectionReference is a section with its documentation.
type SectionReference struct {
	Name    string // as in the file, with NAME as placeholder for a name
	Help    string
	Section *Section
}

// Markdown renders the reference of a file format as Markdown, one table for each section.
func Markdown(sections []SectionReference) string {
	var b strings.Builder
	for _, d := range sections {
		fmt.Fprintf(&b, "## [%s]\n\n%s\n\n| key | default | meaning |\n|---|---|---|\n", d.Name, d.Help)
		for _, k := range d.Section.Keys {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", k.Name, k.displayDefault(), k.Help)
		}
		b.WriteString("\n")
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// displayDefault returns the default as shown in the reference.
func (k Key) displayDefault() string {
	switch {
	case k.Required:
		return "(required)"
	case k.Default == "":
		return "(empty)"
	}
	return k.Default
}
