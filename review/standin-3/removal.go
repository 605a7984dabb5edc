package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["removal"] = removalAfterCut }

const (
	drain = 2 * time.Second // drainMs
	// cutLength is how long the one daemon is partitioned from the store.
	cutLength = 2 * time.Second
)

// removalAfterCut partitions one of ten daemons from the store, the one that reads it for the
// others. Around the end of the cut, four of sixteen instances of a service leave one after the other
// without a report: their entries are removed, and they serve on. Callers use the other daemons.
func removalAfterCut(w *world) error {
	const daemons, instances, callers = 10, 16, 4
	if err := w.deploy(daemons, 3, instances); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	reader, share := w.storeLink.busiest(3 * time.Second)
	w.note("reader", fmt.Sprintf("%s sends %.0f in 100 of the bytes that the store gets", reader, 100*share))
	if reader == "" || share < 0.5 {
		return errors.New("no daemon is seen to read the store for the others")
	}
	end := time.Now().Add(cutLength + 7*time.Second)
	var all sync.WaitGroup
	for _, d := range w.daemons {
		if d.name == reader {
			continue // it is out of touch
		}
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
		n := w.storeLink.cutOff(reader)
		w.note("trouble", fmt.Sprintf("%s is cut off from the store: %d connections are reset, new ones too", reader, n))
	}
	time.Sleep(cutLength)
	w.storeLink.restore()
	w.note("restored", reader+" reaches the store again")
	removed := map[string]time.Time{}
	for i := range 4 {
		e := w.engines[3+i]
		removed[e.id] = e.leave()
		w.note("acked", "the entry of "+e.id+" is removed; it serves on")
		time.Sleep(250 * time.Millisecond)
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
