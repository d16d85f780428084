// Command tool3 plays the scripted cases of the third review: it starts the project's processes on loopback addresses,
// with stand-ins for clients, backend servers and the operator, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseTimeout bounds a case, with the end of its processes.
	caseTimeout = 110 * time.Second
)

// cases has the function of each case by name. It returns whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"broken-head":    brokenHeads,
	"foreign-drain":  foreignDrain,
	"paused-restart": pausedRestart,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: tool3 CASE RECORD")
		os.Exit(exitFailed)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(runCase(run, os.Args[2]))
}

func runCase(run func(*play) (bool, error), recordPath string) int {
	p, err := newPlay(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer p.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(p)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			p.recordf("the case could not run: %v", r.err)
			return exitFailed
		case r.broken:
			p.recordf("RESULT: the rule was broken")
			return exitBroken
		default:
			p.recordf("RESULT: the rule held")
			return exitHeld
		}
	case s := <-p.signals:
		p.recordf("ended by %v", s)
		return exitFailed
	case <-time.After(caseTimeout):
		p.recordf("the case took too long")
		return exitFailed
	}
}
