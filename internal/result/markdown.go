package result

import (
	"fmt"
	"net/http"
	"strings"
)

// Markdown returns the table of codes as Markdown, for the documentation.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| code | name | class | HTTP status | what happened | what to do |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, i := range table {
		fmt.Fprintf(&b, "| %d | %s | %s | %d %s | %s | %s |\n", i.Code, i.Name, i.Class, i.Status, http.StatusText(i.Status), i.Meaning, i.Advice)
	}
	return b.String()
}
