// Command trial plays the cases of the review: it starts hickoryshelf's programs as separate processes on loopback addresses,
// with stand-ins for clients, servers and the platform, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a trial.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotPlay = 2
)

// errBroken means that the rule of a trial was broken.
var errBroken = errors.New("the rule was broken")

// trials maps the names of the trials to what plays them. trouble is false if the disruption is left out.
var trials = map[string]func(r *record, trouble bool) error{
	"forgotten-leaver": playForgottenLeaver,
	"deadly-part":      playDeadlyPart,
	"partition":        playPartition,
	"second-loss":      playSecondLoss,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the trial that the arguments name: NAME RECORD. The environment variable TROUBLE=0 leaves the disruption out.
func run(args []string) int {
	if len(args) != 2 || trials[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial NAME RECORD")
		return exitNotPlay
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlay
	}
	defer r.close()
	err = trials[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.print("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.print("result: %v", err)
		return exitBroken
	}
	r.print("result: the trial couldn't be played: %v", err)
	return exitNotPlay
}
