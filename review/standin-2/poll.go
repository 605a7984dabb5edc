package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poll"] = poll }

const (
	// pollPath is that of a read which many requesters repeat until there is an answer.
	pollPath     = "/read/ticket-77"
	pollInterval = 20 * time.Millisecond
	// pollWork is the mean time of a request at an engine.
	pollWork = 200 * time.Millisecond
	// engineCrashes are the crashes of single engines, crashInterval apart.
	engineCrashes = 4
	crashInterval = 5 * time.Second
	// answeredFor is how long the engines have the answer at the end.
	answeredFor = 25 * time.Second
)

// poll: requesters ask for a ticket that does not exist yet, and get the engines' 404. Meanwhile single
// engines crash. Then the ticket exists, and the engines answer 200.
func poll(w *world) (bool, string) {
	w.writeState()
	var exists atomic.Bool
	for i := range 6 {
		w.newEngine(fmt.Sprint("e", i+1), fmt.Sprintf("%s.%d", w.network, 100+i), pollWork, func(r *http.Request, _ []byte) treatment {
			if r.URL.Path == pollPath && !exists.Load() {
				return answerNotFound
			}
			return serve
		})
	}
	w.startDaemons(7)
	time.Sleep(2 * contactTime)
	var polls, served, refusedAtEnd, pollsAtEnd atomic.Int64
	stopPolls := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stopPolls:
				return
			case <-time.After(pollInterval):
			}
			all.Go(func() {
				atEnd := exists.Load()
				a := w.ask(w.daemons[rand.IntN(len(w.daemons))].front(), "poll", http.MethodGet, pollPath, "", 3*time.Second)
				polls.Add(1)
				if a.status == http.StatusOK {
					served.Add(1)
				}
				if atEnd {
					pollsAtEnd.Add(1)
					if a.status == http.StatusServiceUnavailable {
						refusedAtEnd.Add(1)
					}
				}
			})
		}
	})
	stop := make(chan struct{})
	wait := w.background(w.daemons, stop)
	for i := range engineCrashes {
		time.Sleep(crashInterval)
		if w.trouble {
			e := w.engines[i%len(w.engines)]
			w.note("engine %s crashes", e.id)
			e.crash(false, crashTime)
		}
	}
	time.Sleep(2 * contactTime)
	w.note("the ticket exists from now on")
	exists.Store(true)
	time.Sleep(answeredFor)
	close(stopPolls)
	close(stop)
	sent, failed := wait()
	all.Wait()
	pollShare := float64(served.Load()) / float64(polls.Load())
	allShare := float64(served.Load()+int64(sent-failed)) / float64(polls.Load()+int64(sent))
	runsAtEnd := len(w.runsOf(func(r run) bool { return r.path == pollPath && r.treatment == serve }))
	return pollShare < allShare/4, strings.Join([]string{
		fmt.Sprintf("served %.3f of %d reads of the ticket and %.3f of all requests", pollShare, polls.Load(), allShare),
		fmt.Sprintf("of %d reads sent since the ticket exists %d were refused with 503, and %d reached an engine", pollsAtEnd.Load(), refusedAtEnd.Load(), runsAtEnd),
		fmt.Sprintf("other orders: %d of %d served", sent-failed, sent),
	}, "; ")
}
