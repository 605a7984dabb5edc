// Package slowread decides which responses are ended when the memory for those that callers have
// not read yet is used up. It does no I/O and has no clock.
package slowread

import (
	"cmp"
	"time"
)

const (
	// stalledAfter is how long a caller reads nothing until its response counts as stalled. One
	// that reads at 8 KB/s or more takes a block in this time.
	stalledAfter = 500 * time.Millisecond
	// reservedDivisor: 1/reservedDivisor of the memory is kept for responses that hold little.
	reservedDivisor = 4
)

// MayGrow reports whether a response that holds so many bytes may hold more, of a memory of limit
// bytes, used by so many responses. One that holds more than its share leaves a part of the memory
// to others: callers that read do not wait for room behind those that do not.
func MayGrow(held, used, limit int64, responses int) bool {
	share := limit / int64(reservedDivisor*max(1, responses))
	return limit == 0 || held < share || used < limit-limit/reservedDivisor
}

// Response is a response of which a part waits for its caller to read.
type Response struct {
	// HeldBytes is the memory that its end frees.
	HeldBytes int64
	// Priority is that of its request; 0 is the most urgent.
	Priority int
	// Deadline is that of its request.
	Deadline time.Time
	// LastRead is when its caller last took a part.
	LastRead time.Time
}

// Cheapest returns the index of the response whose end costs callers least, or -1 if the end of
// none frees memory. These go first: those whose callers have stopped reading, which are probably
// never read; then those past their deadline, which have lost a part of their value; then the
// less urgent ones; then those that free the most memory, so that few are ended.
func Cheapest(now time.Time, responses []Response) int {
	best := -1
	for i, r := range responses {
		if r.HeldBytes > 0 && (best < 0 || compare(now, r, responses[best]) < 0) {
			best = i
		}
	}
	return best
}

// compare returns a negative number if ending a costs less than ending b.
func compare(now time.Time, a, b Response) int {
	reading := func(r Response) int { return boolToInt(now.Sub(r.LastRead) < stalledAfter) }
	inTime := func(r Response) int { return boolToInt(now.Before(r.Deadline)) }
	return cmp.Or(reading(a)-reading(b), inTime(a)-inTime(b), b.Priority-a.Priority, cmp.Compare(b.HeldBytes, a.HeldBytes))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
