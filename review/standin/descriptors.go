package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func twoServicesState() map[string]any {
	state := orderState(16384, 7)
	state["routes"] = append(state["routes"].([]any), map[string]any{
		"name": "r-read", "host": host, "prefix": "/filo73/", "kind": "safe", "timeoutMs": 3000, "goalMs": 300, "priority": 2, "service": "kafi81c", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	})
	state["services"] = append(state["services"].([]any), map[string]any{"name": "kafi81c", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false})
	return state
}

// descriptorCase: every requester keeps one connection to a directory, which it asks each
// second, and one for its requests. Two of three daemons are killed, and their requesters go to
// the third. Its own end would cut the requests that it has passed on.
func descriptorCase(record string) {
	const requesters = 2100
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 3*requesters {
		fmt.Fprintln(os.Stderr, "the case couldn't run: too few descriptors for the requesters")
		os.Exit(2)
	}
	s := newSystem(3, record)
	for i := range 5 {
		s.addEngine(&engine{id: fmt.Sprintf("i-order-%d", i+1), service: "gowu98c", slots: 64, work: 1200 * time.Millisecond})
	}
	for i := range 3 {
		s.addEngine(&engine{id: fmt.Sprintf("i-read-%d", i+1), service: "kafi81c", slots: 64, work: 20 * time.Millisecond})
	}
	s.configure(twoServicesState())
	s.startDaemons()
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	var killed atomic.Bool
	survivor := fmt.Sprintf("%s:%d", s.daemons[2].ip, frontPort)
	end := time.Now().Add(32 * time.Second)
	note := func(id, address string, kept bool, a answer) {
		ran := false
		for _, e := range s.engines {
			e.mu.Lock()
			ran = ran || e.runs[id] != nil
			e.mu.Unlock()
		}
		mu.Lock()
		defer mu.Unlock()
		key := strconv.Itoa(a.status)
		if a.status == 0 {
			key = "closed without an answer"
		}
		counts[key]++
		s.logf("order %s on a connection to %s, kept %t: %s, run by an engine: %t", id, address, kept, key, ran)
		if (a.status == 0 || !a.complete) && ran && kept && address == survivor {
			lost++
		}
	}
	var wg sync.WaitGroup
	for i := range requesters {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			var directory, front *requester
			address, lastUse := "", time.Time{}
			for time.Now().Before(end) {
				var addresses []string
				for n := 0; n < len(s.daemons) && addresses == nil; n++ {
					if directory == nil {
						directory, _ = dial(fmt.Sprintf("%s:%d", s.daemons[(i+n)%len(s.daemons)].ip, directoryPort))
					}
					if directory == nil {
						continue
					}
					var err error
					if addresses, err = directory.resolve(s.daemons[i%3].zone); err != nil {
						directory.conn.Close()
						directory, addresses = nil, nil
					}
				}
				if front != nil && addresses != nil && !slices.Contains(addresses, address) {
					front.conn.Close()
					front = nil
				}
				if front == nil && len(addresses) > 0 {
					address = addresses[rand.IntN(len(addresses))]
					front, _ = dial(address)
					lastUse = time.Time{}
				}
				if front != nil && (lastUse.IsZero() || rand.IntN(8) == 0 || time.Since(lastUse) > 9*time.Second) {
					// The first request of a connection, and every second one later, is quick.
					r := &request{id: newID(), method: "GET", path: "/filo73/de11", key: "key-of-sese880", deadline: 3 * time.Second}
					if !lastUse.IsZero() && rand.IntN(2) == 0 {
						r.method, r.path, r.body = "POST", "/migo893/ti23", []byte("{}")
					}
					kept := front.used > 0
					a := front.do(r)
					lastUse = time.Now()
					if r.method == "POST" {
						note(r.id, address, kept, a)
					}
					if a.status == 0 || !a.complete || a.status == 503 {
						front.conn.Close()
						front = nil
					}
				}
				time.Sleep(time.Duration(900+rand.IntN(200)) * time.Millisecond)
			}
			for _, c := range []*requester{directory, front} {
				if c != nil {
					c.conn.Close()
				}
			}
		})
	}
	time.Sleep(12 * time.Second)
	if trouble() {
		killed.Store(true)
		s.kill(s.daemons[0])
		s.kill(s.daemons[1])
	}
	wg.Wait()
	d := s.daemons[2]
	d.mu.Lock()
	ends := strings.Join(d.ends, "; ")
	d.mu.Unlock()
	s.verdict(lost > 3, "%s, which nobody harmed, ended by itself %d times (%s); %d orders on kept connections to it were passed on to sound engines and their connections closed without an answer (more than three break LOST); answers to orders %v", d.name, d.ownEnds(), ends, lost, counts)
}
