package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

// outcome is how a case ended.
type outcome int

const (
	held outcome = iota
	broken
	notRun
)

// play is one case. trouble is not set if it is to be played without its disruption.
type play func(r *record, trouble bool) (outcome, string)

func main() {
	name := flag.String("case", "", "name of the case")
	file := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	c, ok := map[string]play{
		"partial-status": partialStatus, "unreadable-id": unreadableID, "lost-departure": lostDeparture, "line-end": lineEnd, "entry-hosts": entryHosts,
	}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(int(notRun))
	}
	r, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(maxRun, func() {
		r.event("the case took too long")
		os.Exit(int(notRun))
	})
	result, why := c(r, trouble)
	r.event("result", int(result), why)
	fmt.Printf("%s: trouble %v, status %d: %s\n", *name, trouble, result, why)
	os.Exit(int(result))
}
