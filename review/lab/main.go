// Command lab runs one scripted case of the review: it starts entry hosts as
// separate processes beside stand-ins for the platform, the databases and the
// clients, all on loopback addresses, and checks one rule.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(exitNotRun)
	}
	l := &lab{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.stopHosts()
		_ = os.RemoveAll(l.dir)
		os.Exit(exitNotRun)
	}()
	code := l.run(os.Args[1])
	_ = record.Close()
	os.Exit(code)
}
