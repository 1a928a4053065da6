// Command hickoryshelf routes requests to versions of language models under customers' contracts. Its subcommands run the hosts of
// the router and the tools that operate, test and measure them.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/hickoryshelf/hickoryshelf/cmds"
)

func main() {
	if err := cmds.Run(context.Background(), os.Args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hickoryshelf:", err)
		os.Exit(1)
	}
}
