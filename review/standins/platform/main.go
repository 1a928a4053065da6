// Standins plays the cases of this review on a small deployment of real processes. It holds the stand-ins for clients, servers,
// operators and the platform. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play is one run of a case.
type play struct {
	record *record
	// troubled is set unless TROUBLE is 0: then the disruption is left out.
	troubled   bool
	deployment *deployment
}

// cases maps the names of cases to what plays them. Each returns whether the rule was broken.
var cases = map[string]func(*play) (bool, error){
	"quiet-part": quietPart,
	"busy-part":  busyPart,
	"brittle":    brittle,
	"late-order": lateOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE FOLDER; the record is written to FOLDER/record.txt")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(c func(*play) (bool, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	d, err := newDeployment(r)
	if err != nil {
		r.note("couldn't run: %v", err)
		return couldNot
	}
	p := &play{record: r, troubled: os.Getenv("TROUBLE") != "0", deployment: d}
	g := time.AfterFunc(playLimit, func() {
		d.stop()
		r.note("couldn't run: it took longer than %v", playLimit)
		r.close()
		os.Exit(couldNot)
	})
	defer g.Stop()
	defer d.stop()
	go p.awaitSignal()
	r.note("the disruption is played: %v", p.troubled)
	b, err := c(p)
	switch {
	case err != nil:
		r.note("couldn't run: %v", err)
		return couldNot
	case b:
		r.note("result: the rule was broken")
		return broken
	}
	r.note("result: the rule held")
	return held
}

// awaitSignal ends all processes if this one is told to end.
func (p *play) awaitSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	<-c
	p.deployment.stop()
	os.Exit(couldNot)
}

// playLimit bounds the time of a case.
const playLimit = 112 * time.Second
