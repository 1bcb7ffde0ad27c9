package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
)

// showCommand prints the response body of a URL, such as what a fake usage receiver has
// received.
type showCommand struct {
	URL string `long:"url" required:"true" description:"what to fetch and print"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	resp, err := http.Get(c.URL)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}
