// Command apricotstream is the rollout service: the daemon and its command line.
package main

import "github.com/apricotstream/apricotstream/internal/cli"

func main() {
	cli.Main()
}
