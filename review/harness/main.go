// Command harness plays the cases of the review: it starts the built program as separate processes on loopback
// addresses, with stand-ins for clients, backend servers and the platform, and checks one rule of the platform.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of one case.
type verdict struct {
	broken bool
	text   string
}

// cases maps the names of the cases to the functions that play them; the file of each case adds its own. trouble is
// false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// runLimit ends a run that takes longer than a case may.
	runLimit = 115 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	type outcome struct {
		v   verdict
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[name](f, trouble)
		done <- outcome{v, err}
	}()
	var code int
	var text string
	select {
	case <-time.After(runLimit):
		code, text = exitNotRun, "could not run: the time is over"
	case o := <-done:
		switch {
		case o.err != nil:
			code, text = exitNotRun, "could not run: "+o.err.Error()
		case o.v.broken:
			code, text = exitBroken, "BROKEN: "+o.v.text
		default:
			code, text = exitHeld, "held: "+o.v.text
		}
	}
	f.stop()
	rec.printf("%s", text)
	return code
}
