package upstream

// RefusedError reports that an engine refused a request before any work. It is
// the cause of a verdict.NotRun error.
type RefusedError struct {
	Reason RefusalReason
	// Incarnation and Weights are the engine's current ones, if it stated them.
	Incarnation string
	Weights     []string
}

// RefusalReason is the code of an engine's refusal.
type RefusalReason string

// Reasons of a refusal.
const (
	RefusedIncarnation RefusalReason = "incarnation"
	RefusedWeights     RefusalReason = "weights"
	RefusedOverloaded  RefusalReason = "overloaded"
	RefusedLeaving     RefusalReason = "leaving"
	RefusedFence       RefusalReason = "fence"
	// RefusedStreamGone means that the engine does not have the stream to resume.
	RefusedStreamGone RefusalReason = "stream_gone"
	// RefusedInUse means that a connection still reads the stream to abandon.
	RefusedInUse RefusalReason = "in_use"
)

// Error implements error.
func (e *RefusedError) Error() string { return "engine refused: " + string(e.Reason) }
