package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(d *deployment) []string{
	"late-refusal": lateRefusal,
	"smuggled":     smuggled,
	"item-headers": itemHeaders,
	"poison":       poison,
	"silent-store": silentStore,
}

// playTime limits a run.
const playTime = 110 * time.Second

func main() { os.Exit(play()) }

// play runs the case named on the command line: 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
func play() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: caselab CASE ROOT FOLDER")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var d *deployment
	defer func() {
		if cause := recover(); cause != nil {
			c, ok := cause.(cannotRun)
			if !ok {
				panic(cause)
			}
			fmt.Println("the case could not run:", c)
			code = 2
		}
		if d != nil {
			d.close()
		}
	}()
	d = newDeployment(root, os.Args[3])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	late := time.After(playTime)
	done := make(chan []string, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				failed <- cause
			}
		}()
		done <- cases[os.Args[1]](d)
	}()
	select {
	case cause := <-failed:
		panic(cause)
	case <-signals:
		fail("interrupted")
	case <-late:
		fail("the case took too long")
	case broken := <-done:
		for _, line := range broken {
			d.record.add("BROKEN %s", line)
			fmt.Println(line)
		}
		if len(broken) > 0 {
			return 1
		}
		d.record.add("the rule held")
		fmt.Println("the rule held")
	}
	return 0
}
