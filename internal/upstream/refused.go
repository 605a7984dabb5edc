package upstream

// RefusedError is an engine's refusal before any work; it is the cause of a
// verdict.NotRun error.
type RefusedError struct {
	Reason RefusalReason
	// Incarnation and Weights tell what the engine runs now, if it said so.
	Incarnation string
	Weights     []string
}

// RefusalReason says why an engine refused.
type RefusalReason string

// Reasons of a refusal.
const (
	RefusedIncarnation RefusalReason = "incarnation"
	RefusedWeights     RefusalReason = "weights"
	RefusedOverloaded  RefusalReason = "overloaded"
	RefusedLeaving     RefusalReason = "leaving"
	RefusedFence       RefusalReason = "fence"
	// RefusedStreamGone means that the stream to resume is not known.
	RefusedStreamGone RefusalReason = "stream_gone"
	// RefusedInUse means that a stream to be abandoned is being read.
	RefusedInUse RefusalReason = "in_use"
)

// Error implements error.
func (e *RefusedError) Error() string { return "engine refused: " + string(e.Reason) }
