package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

// failingShare is how many of its requests the failing engine fails.
const failingShare = 0.4

// refused: one of seven engines books some orders and then fails, with a 503 that doesn't say that
// they weren't run. Requesters send an order again after a 503, once.
func refused(w *world) (bool, string) {
	w.writeState()
	w.startEngines(6, treatPoison(serve))
	failing := w.newEngine("e7", fmt.Sprintf("%s.%d", w.network, 106), 60*time.Millisecond, func(r *http.Request, _ []byte) treatment {
		if w.trouble && rand.Float64() < failingShare {
			return failAfterWork
		}
		return serve
	})
	w.startDaemons(7)
	time.Sleep(2 * contactTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	refusals := map[string]string{} // the orders by the IDs of the attempts that got a 503
	for i := range 300 {
		time.Sleep(50 * time.Millisecond)
		all.Go(func() {
			path := fmt.Sprintf("/order/%d", i)
			for range 2 {
				a := w.ask(w.daemons[rand.IntN(len(w.daemons))].front(), "order", http.MethodPost, path, fmt.Sprintf("{\"part\":\"glass eye\",\"count\":%d}", i), 3*time.Second)
				if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
					return
				}
				mu.Lock()
				refusals[a.id] = path
				mu.Unlock()
			}
		})
	}
	all.Wait()
	ranAndRefused, bookedTwice := 0, 0
	for id, path := range refusals {
		if len(w.runsOf(func(r run) bool { return r.id == id })) == 0 {
			continue
		}
		ranAndRefused++
		if len(w.runsOf(func(r run) bool { return r.path == path })) > 1 {
			bookedTwice++
		}
		w.note("%s for %s was answered 503, and has run", id, path)
	}
	return ranAndRefused > 0, fmt.Sprintf("of 300 orders %d attempts were answered 503 though engine %s had run them; %d orders were booked twice", ranAndRefused, failing.name, bookedTwice)
}
