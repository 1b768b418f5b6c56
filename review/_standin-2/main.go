// Command review-standin-2 plays cases and a trial of the review: it starts the program
// under test as separate processes, and plays its clients, its replicas and the platform's
// store on loopback addresses.
//
// # Usage
//
//	review-standin-2 --case reset --program target/agateward --record review/6/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// cases maps the name of a case to the function that plays it and returns the breaks of the
// rule.
var cases = map[string]func(w *world) (broken int, err error){
	"exposure": playExposure,
	"reset":    playReset,
	"status":   playStatus,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play: "+names())
	program := flag.String("program", "target/agateward", "the program under test")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "--case must be one of:", names())
		return 2
	}
	w, err := newWorld(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(2)
	}()
	w.trouble = os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", *name, w.trouble)
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return 2
	case broken > 0:
		w.note("RULE BROKEN: %d", broken)
		return 1
	}
	w.note("rule held")
	return 0
}

func names() string {
	var list []string
	for name := range cases {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
