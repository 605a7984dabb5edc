package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoice measures the choice of an engine: homes, hints and cost of each home.
func BenchmarkChoice(b *testing.B) {
	for _, engines := range []int{12, 24, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := New(Settings{})
			p.SetEndpoints(epoch, testEndpoints(engines, 16))
			var requests []*Request
			for id := range 64 {
				requests = append(requests, testRequest(id, id, Class{MaxWait: time.Second}))
			}
			now := epoch
			for range 2000 {
				now = now.Add(time.Millisecond)
				p.observeRates(now, requests[0])
			}
			d := p.demand(now, requests[0])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := requests[i%len(requests)]
				p.choose(now, r, p.homes(now, r), &d, nil)
			}
		})
	}
}
