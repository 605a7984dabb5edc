package peerload

// EngineIndex maps the hash of an engine's endpoint to the engine. It implements EngineFinder.
type EngineIndex map[uint32]IndexedEngine

// IndexedEngine is an engine's endpoint and incarnation.
type IndexedEngine struct{ Endpoint, Incarnation string }

// Add adds an engine, or replaces the one with the same hash.
func (x EngineIndex) Add(endpoint, incarnation string) {
	x[Hash(endpoint)] = IndexedEngine{endpoint, incarnation}
}

// Engine implements EngineFinder.
func (x EngineIndex) Engine(hash uint32) (endpoint, incarnation string, ok bool) {
	e, ok := x[hash]
	return e.Endpoint, e.Incarnation, ok
}
