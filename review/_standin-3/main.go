// Command review-3 runs the cases of the third review that are scripts. It starts entries as
// the deploy file does, with stand-ins of the store, replicas and clients, and exits with 1
// if a rule was broken, 0 if it held, and 2 if the case could not run.
//
//	review-3 CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(rec *record, trouble bool) (broken bool){
	"silent-store-drain":        silentStoreDrain,
	"large-configuration-storm": largeConfigurationStorm,
	"bad-version-few-requests":  badVersionFewRequests,
	"bad-version-thin-route":    badVersionThinRoute,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		fatal("interrupted")
	}()
	time.AfterFunc(maxTime, func() { fatal("the case took longer than %s", maxTime) })
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	stopAll()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
