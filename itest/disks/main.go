// Command disks is hickoryshelf with disks that stand or are slow while package stall says so. Integration tests run it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/hickoryshelf/hickoryshelf/cmds"
	"github.com/hickoryshelf/hickoryshelf/itest/stall"
	"github.com/hickoryshelf/hickoryshelf/store"
)

func main() {
	store.BeforeSync = stall.Delay
	if err := cmds.Run(context.Background(), os.Args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hickoryshelf:", err)
		os.Exit(1)
	}
}
