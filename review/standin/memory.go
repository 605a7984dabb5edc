package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func orderState(maxHeaderBytes int, version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-order", "host": host, "prefix": "/migo893/", "kind": "unsafe", "timeoutMs": 6000, "goalMs": 1000, "priority": 2, "service": "gowu98c", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "gowu98c", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "sese880", "apiKeys": []string{"key-of-sese880"}, "priority": 1, "isolated": false}},
	}
}

// anonymousBytes returns the memory of a process without the pages of its program file.
func anonymousBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb << 10
		}
	}
	return 0
}

// enforceMemory kills processes that exceed memoryMb, as the platform does.
func (s *system) enforceMemory(peak []int) {
	for !s.closing.Load() {
		for i, d := range s.daemons {
			d.mu.Lock()
			pid := d.cmd.Process.Pid
			d.mu.Unlock()
			n := anonymousBytes(pid)
			peak[i] = max(peak[i], n)
			if n > memoryMb<<20 {
				s.logf("%s has %d MB, more than memoryMb = %d: the platform kills it", d.name, n>>20, memoryMb)
				_ = syscall.Kill(pid, syscall.SIGKILL)
				time.Sleep(50 * time.Millisecond)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// memoryCase: requesters send bodies of the size that the limits allow, over links that take
// 4 s for one; then 1.7 times as many do. The daemons must bear it within their memory, be it
// by refusals.
func memoryCase(record string) {
	const usual, burst, waves = 150, 1.7, 3
	requesters := usual
	if trouble() {
		requesters = burst * usual
	}
	s := newSystem(3, record)
	for i := range 3 {
		s.addEngine(&engine{id: fmt.Sprintf("i-%d", i+1), service: "gowu98c", slots: 64, work: 60 * time.Millisecond})
	}
	s.configure(orderState(16384, 7))
	s.startDaemons()
	peak := make([]int, len(s.daemons))
	go s.enforceMemory(peak)
	const size = 4194304 // maxBodyBytes
	body := bytes.Repeat([]byte("x"), size)
	time.Sleep(4 * time.Second) // contactMs after the start
	var mu sync.Mutex
	counts := map[string]int{}
	cutAfterPassing := 0
	for wave := range waves {
		s.logf("%d requesters at once, with bodies of %d bytes each", requesters, size)
		var wg sync.WaitGroup
		for i := range requesters {
			wg.Go(func() {
				d := s.daemons[i%len(s.daemons)]
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				c, err := dial(fmt.Sprintf("%s:%d", d.ip, frontPort))
				if err != nil {
					mu.Lock()
					counts["no connection"]++
					mu.Unlock()
					return
				}
				defer c.conn.Close()
				id := newID()
				a := c.do(&request{id: id, method: "POST", path: "/migo893/ti23", key: "key-of-sese880", body: body, deadline: 6 * time.Second, sendTime: 4 * time.Second})
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
					if ran {
						cutAfterPassing++
					}
				}
				counts[key]++
				s.logf("order %s at %s: %s, run by an engine: %t", id, d.name, key, ran)
			})
		}
		wg.Wait()
		time.Sleep(6 * time.Second)
		s.logf("wave %d is over: %v", wave+1, counts)
	}
	often, ends := 0, []int{}
	for i, d := range s.daemons {
		ends = append(ends, d.ownEnds())
		if d.ownEnds() >= 3 {
			often++
		}
		s.logf("%s: most memory %d MB, ended by itself %d times", d.name, peak[i]>>20, d.ownEnds())
	}
	s.verdict(often >= 2, "the daemons ended by themselves %v times (broken from 3 times on 2 machines on), most memory %d, %d and %d MB of %d; answers %v; %d orders were run and their connections closed without an answer", ends, peak[0]>>20, peak[1]>>20, peak[2]>>20, memoryMb, counts, cutAfterPassing)
}
