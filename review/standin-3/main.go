// Command standin-3 plays the scripted cases of the third review: it starts daemons as separate
// processes, plays callers, engines and the platform's store on loopback addresses, and judges
// what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

var cases = map[string]func(w *world) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(timeLimit):
		}
		w.close()
		os.Exit(failed)
	}()
	if err := cases[os.Args[1]](w); err != nil {
		w.note("failed", err.Error())
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if len(w.broken) > 0 {
		fmt.Printf("the rule is broken, %d times; first: %s\n", len(w.broken), w.broken[0])
		return broken
	}
	fmt.Println("the rule held")
	return held
}
