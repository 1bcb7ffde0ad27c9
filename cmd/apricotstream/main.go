// Command apricotstream runs the daemon of the rollout service and its command line.
package main

import "github.com/apricotstream/apricotstream/internal/cli"

func main() {
	cli.Main()
}
