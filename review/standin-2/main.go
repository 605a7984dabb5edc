// Command standin-2 plays one case of a review: it starts daemons with the command of the deploy
// file, and stands in for the platform's store, the engines and the requesters. Everything is on
// loopback addresses. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*world) (broken bool, why string){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	repository, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(playCase(play, repository, os.Args[3]))
}

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

func playCase(play func(*world) (bool, string), repository, recordFile string) (status int) {
	w, err := newWorld(repository, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	defer w.close()
	defer func() {
		if cause := recover(); cause != nil {
			failure, ok := cause.(cannotRun)
			if !ok {
				panic(cause)
			}
			w.note("can't run: %s", failure)
			status = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		w.note("can't run: ended from outside or after %s", maxTime)
		w.close()
		os.Exit(2)
	}()
	w.note("disruption: %t", w.trouble)
	broken, why := play(w)
	if broken {
		w.note("BROKEN: %s", why)
		return 1
	}
	w.note("HELD: %s", why)
	return 0
}

// cannotRun is the reason why a case can't run.
type cannotRun string

func (w *world) require(ok bool, format string, args ...any) {
	if !ok {
		panic(cannotRun(fmt.Sprintf(format, args...)))
	}
}
