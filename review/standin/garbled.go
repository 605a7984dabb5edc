package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// garble spoils the status in the answer to a share of the requests that the engine runs while it
// is faulty, so that the bytes are no response: no status begins with 0.
func (e *engine) garble(w http.ResponseWriter, id string) bool {
	if !e.faulty.Load() || rand.Float64() >= garbledShare {
		return false
	}
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = out.WriteString("HTTP/1.1 020 OK\r\nX-Request-Id: " + id + "\r\nX-Response-Stamp: stamp." + id + "\r\nContent-Length: 5\r\n\r\ndone\n")
	_ = out.Flush()
	e.garbled.Add(1)
	return true
}

const garbledShare = 0.02

// garbledCase: in spells, one engine of three garbles 2 in 100 of its answers. Later all engines
// are sound, and the operator adds a route to their service. It must be served like the others.
func garbledCase(record string) {
	const spells, perSecond = 13, 150
	s := newSystem(3, record)
	var orders []*engine
	for i := range 3 {
		orders = append(orders, s.addEngine(&engine{id: fmt.Sprintf("i-order-%d", i+1), service: "gowu98c", slots: 6, work: 60 * time.Millisecond}))
	}
	for i := range 3 {
		s.addEngine(&engine{id: fmt.Sprintf("i-read-%d", i+1), service: "kafi81c", slots: 6, work: 20 * time.Millisecond})
	}
	state := twoServicesState()
	s.configure(state)
	s.startDaemons()
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	counts := map[string]map[string]int{}
	var wg sync.WaitGroup
	ask := func(phase, method, path string, n int) {
		wg.Go(func() {
			d := s.daemons[n%len(s.daemons)]
			c, err := dial(fmt.Sprintf("%s:%d", d.ip, frontPort))
			if err != nil {
				return
			}
			defer c.conn.Close()
			r := &request{id: newID(), method: method, path: path, key: "key-of-sese880", deadline: 3 * time.Second}
			if method == "POST" {
				r.body = []byte("{}")
			}
			a := c.do(r)
			key := strconv.Itoa(a.status)
			if a.status == 0 {
				key = "closed without an answer"
			}
			mu.Lock()
			defer mu.Unlock()
			if counts[phase] == nil {
				counts[phase] = map[string]int{}
			}
			counts[phase][key]++
			s.logf("%s %s %s at %s: %s", phase, method, path, d.name, key)
		})
	}
	traffic := func(phase, method, path string, length time.Duration) {
		n := 0
		for start := time.Now(); time.Since(start) < length; n++ {
			ask(phase, method, path, n)
			if n%5 == 0 {
				ask("first route to the other service", "GET", "/filo73/de11", n/5)
			}
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / perSecond)))
		}
	}
	traffic("first route", "POST", "/migo893/ti23", 3*time.Second)
	for i := range spells {
		e := orders[i%len(orders)]
		if trouble() {
			s.logf("%s garbles %g of its answers for 5.5 s", e.id, garbledShare)
			e.faulty.Store(true)
		}
		traffic("first route, in the spells", "POST", "/migo893/ti23", 5500*time.Millisecond)
		e.faulty.Store(false)
	}
	wg.Wait()
	s.logf("all engines are sound from now on")
	time.Sleep(4 * time.Second)
	added := state["routes"].([]any)[0].(map[string]any)
	later := map[string]any{}
	for k, v := range added {
		later[k] = v
	}
	later["name"], later["prefix"] = "r-order-2", "/tino61/"
	state["routes"], state["version"] = append(state["routes"].([]any), later), 12
	s.configure(state)
	time.Sleep(4 * time.Second)
	traffic("route added later", "POST", "/tino61/2f", 8*time.Second)
	wg.Wait()
	garbled := int64(0)
	for _, e := range orders {
		garbled += e.garbled.Load()
	}
	rate := func(phases ...string) float64 {
		served, all := 0, 0
		for _, p := range phases {
			for k, n := range counts[p] {
				all += n
				if k == "200" {
					served += n
				}
			}
		}
		return float64(served) / float64(max(1, all))
	}
	first, last := rate("first route", "first route, in the spells", "first route to the other service"), rate("route added later")
	for phase, c := range counts {
		s.logf("%s: %v", phase, c)
	}
	s.verdict(last < first/4, "%d answers were garbled; %.3f of the requests on the first routes were served, %.3f of those on the route that was added later, with all engines sound: %v", garbled, first, last, counts["route added later"])
}
