package cli

import (
	"fmt"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/settings"
	"github.com/apricotstream/apricotstream/internal/strictini"
)

type codesCommand struct {
	o        *options
	Markdown bool `long:"markdown" description:"print the table of docs/RESULTS.md"`
	Args     struct {
		Code int `positional-arg-name:"CODE" description:"show this code only"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *codesCommand) Execute([]string) error {
	if c.Markdown {
		fmt.Fprint(c.o.out, result.Markdown())
		return nil
	}
	for _, i := range result.Table() {
		if c.Args.Code == 0 || int(i.Code) == c.Args.Code {
			fmt.Fprintf(c.o.out, "%d %s (%s, HTTP %d)\n    %s %s\n", i.Code, i.Name, i.Class, i.Status, i.Meaning, i.Advice)
		}
	}
	return nil
}

type referenceCommand struct {
	o    *options
	Args struct {
		File string `positional-arg-name:"settings|service" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *referenceCommand) Execute([]string) error {
	switch c.Args.File {
	case "settings":
		fmt.Fprint(c.o.out, strictini.Markdown(settings.Reference()))
	case "service":
		fmt.Fprint(c.o.out, strictini.Markdown(document.Reference()))
	default:
		return result.New(result.SettingInvalid, "there is no reference of %s, only of settings and service", c.Args.File)
	}
	return nil
}

type completionCommand struct{ o *options }

// completionScript makes bash run the program with GO_FLAGS_COMPLETION set. go-flags then
// prints the completions.
const completionScript = `_apricotstream() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _apricotstream apricotstream
`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(c.o.out, completionScript)
	return nil
}
