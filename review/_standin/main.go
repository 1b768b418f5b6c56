// Command _standin plays the cases of this review: it starts the store, replicas and
// clients as stand-ins, and the entries as processes of their own.
//
// # Usage
//
//	standin cut-answers review/1
//
// It runs from the root of the repository and writes record.txt into the folder. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// limit is the longest time of a case; the pages of the review allow 120 s.
const limit = 110 * time.Second

// play plays a case. It returns what broke the rule, none if it held.
type play func(w *world, trouble bool) (breaks []string, err error)

var cases = map[string]play{}

func main() {
	runtime.LockOSThread() // the entries end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c play, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	late := time.AfterFunc(limit, func() {
		w.record("the case took longer than %s", limit)
		for _, e := range w.entries {
			_ = e.cmd.Process.Kill()
		}
		os.Exit(exitNotRun)
	})
	defer late.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("disruption: %v", trouble)
	breaks, err := c(w, trouble)
	if err != nil {
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range breaks {
		w.record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	w.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
