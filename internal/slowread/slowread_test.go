package slowread

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Load pattern: slow callers of long and short answers fill the memory. Guards against ending an
// answer that its caller still wants while one is held that costs less.
func TestCheapestEndsFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	reading := Response{HeldBytes: 100, Priority: 1, Deadline: now.Add(time.Second), LastRead: now}
	with := func(change func(*Response)) Response {
		r := reading
		change(&r)
		return r
	}
	for name, cheaper := range map[string]Response{
		"stalled, though small and urgent": with(func(r *Response) { r.LastRead, r.HeldBytes, r.Priority = now.Add(-stalledAfter), 1, 0 }),
		"late, though urgent":              with(func(r *Response) { r.Deadline, r.Priority = now, 0 }),
		"less urgent, though small":        with(func(r *Response) { r.Priority, r.HeldBytes = 2, 1 }),
		"larger":                           with(func(r *Response) { r.HeldBytes = 101 }),
	} {
		assert.Equal(t, Cheapest(now, []Response{reading, cheaper, reading}), 1, name)
	}
	assert.Equal(t, Cheapest(now, []Response{with(func(r *Response) { r.HeldBytes = 0 })}), -1)
	assert.Equal(t, Cheapest(now, nil), -1)
}

// Guards against an order that depends on how the responses are listed: each daemon decides alike.
func TestCheapestDoesNotDependOnOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Response {
			ago := rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second})
			return Response{HeldBytes: rapid.Int64Range(0, 3).Draw(t, "bytes"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Deadline: now.Add(time.Second - ago.Draw(t, "late")), LastRead: now.Add(-ago.Draw(t, "unread"))}
		}), 1, 8).Draw(t, "responses")
		i := Cheapest(now, list)
		mixed := rapid.Permutation(list).Draw(t, "mixed")
		j := Cheapest(now, mixed)
		assert.Equal(t, i < 0, j < 0)
		if i >= 0 {
			assert.Equal(t, compare(now, list[i], mixed[j]), 0)
		}
	})
}

// Load pattern: a few callers that read nothing, and many that read. Guards against memory that
// the former fill before the latter get any.
func TestSharesLeaveRoomForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(100, 10000).Draw(t, "limit")
		held := make([]int64, rapid.IntRange(1, 5).Draw(t, "stalled"))
		used := int64(0)
		for grown := true; grown; {
			grown = false
			for i := range held {
				if MayGrow(held[i], used, limit, len(held)) && used < limit {
					held[i]++
					used++
					grown = true
				}
			}
		}
		assert.Assert(t, used >= limit/2, "%d of %d bytes are used", used, limit)
		assert.Assert(t, MayGrow(0, used, limit, len(held)+1), "one more caller gets no room")
		assert.Assert(t, used <= limit-limit/reservedDivisor+int64(len(held)), "%d of %d bytes are used", used, limit)
	})
}
