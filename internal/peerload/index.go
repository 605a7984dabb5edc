package peerload

// Index finds engines by the short hash of their identity. It implements Engines.
type Index map[uint32]IndexedEngine

// IndexedEngine is one life of an engine.
type IndexedEngine struct{ ID, Incarnation string }

// Add adds an engine.
func (x Index) Add(id, incarnation string) { x[Hash(id)] = IndexedEngine{id, incarnation} }

// Engine implements Engines.
func (x Index) Engine(hash uint32) (id, incarnation string, ok bool) {
	e, ok := x[hash]
	return e.ID, e.Incarnation, ok
}
