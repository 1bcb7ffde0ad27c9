package cli

import (
	"io"
	"os"
	"path/filepath"

	"github.com/apricotstream/apricotstream/internal/explain"
	"github.com/apricotstream/apricotstream/internal/result"
)

type explainCommand struct {
	o    *options
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"request, batch job or item"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"log files, one or more for each process"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var logs []explain.Log
	for _, f := range c.Args.Files {
		logs = append(logs, explain.Log{Name: filepath.Base(f), Open: func() (io.ReadCloser, error) { return os.Open(f) }})
	}
	report, err := explain.Search(logs, c.Args.ID)
	if err != nil {
		return result.New(result.SettingInvalid, "cannot read the logs: %s", err)
	}
	if len(report.Matched) == 0 {
		return result.New(result.NotFound, "none of the %d files has a line with %s; %d lines are not structured log lines", len(logs), c.Args.ID, report.Skipped)
	}
	report.Write(c.o.out)
	return nil
}
