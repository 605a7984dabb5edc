package peerload

// Index maps the hash of an engine's ID to the engine. It implements EngineFinder.
type Index map[uint32]IndexedEngine

// IndexedEngine is an engine's ID and incarnation.
type IndexedEngine struct{ ID, Incarnation string }

// Add adds an engine, or replaces the one with the same hash.
func (x Index) Add(id, incarnation string) { x[Hash(id)] = IndexedEngine{id, incarnation} }

// Engine implements EngineFinder.
func (x Index) Engine(hash uint32) (id, incarnation string, ok bool) {
	e, ok := x[hash]
	return e.ID, e.Incarnation, ok
}
