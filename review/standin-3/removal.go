package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["removal"] = silentRemoval }

const (
	contact = 3 * time.Second // contactMs
	drain   = 2 * time.Second // drainMs
)

// silentRemoval makes all open connections to the store silent, while new ones work. Once all
// daemons are in touch again, three of twelve instances of a service leave one after the other
// without a report: their entries are removed, and they serve on.
func silentRemoval(w *world) error {
	const daemons, instances, callers = 7, 12, 4
	if err := w.deploy(daemons, 3, instances); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(contact + 8*time.Second)
	var all sync.WaitGroup
	for _, d := range w.daemons {
		for n := range callers {
			all.Go(func() {
				c := newCaller(w)
				for i := 0; time.Now().Before(end); i++ {
					c.do(d.front(w), call{method: "GET", host: plainHost, path: fmt.Sprintf("/read/%d/%d", n, i), key: firstKey, deadline: 1500 * time.Millisecond})
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	if w.trouble {
		n := w.storeLink.silence()
		w.note("trouble", fmt.Sprintf("the %d open connections to the store are silent from now on, %s", n, w.clock()))
	}
	removed := map[string]time.Time{}
	time.Sleep(contact + 600*time.Millisecond)
	for i := range 3 {
		e := w.engines[3+i]
		removed[e.id] = e.leave()
		w.note("acked", "the entry of "+e.id+" is removed; it serves on, "+w.clock())
		time.Sleep(400 * time.Millisecond)
	}
	all.Wait()
	w.judgeRemovals(removed)
	return nil
}

// judgeRemovals notes the requests that reached engines too late after their removal.
func (w *world) judgeRemovals(removed map[string]time.Time) {
	var late []string
	last := map[string]time.Duration{}
	w.mu.Lock()
	for _, list := range w.runs {
		for _, x := range list {
			at, gone := removed[x.engine]
			if !gone {
				continue
			}
			after := x.began.Sub(at)
			last[x.engine] = max(last[x.engine], after)
			if after > drain {
				late = append(late, fmt.Sprintf("DRAIN: request %s reached %s %d ms after the acknowledgement that its entry is removed", x.id, x.engine, after.Milliseconds()))
			}
		}
	}
	w.mu.Unlock()
	for id, after := range last {
		w.note("last", fmt.Sprintf("the last request reached %s %d ms after its removal", id, after.Milliseconds()))
	}
	for _, text := range late {
		w.breaks(text)
	}
}

// leave removes the engine's entry; it serves on. It returns when that is acknowledged.
func (e *engine) leave() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	e.w.store.remove("servers", e.id)
	return time.Now()
}
