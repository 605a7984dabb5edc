package prefix

import "github.com/cespare/xxhash/v2"

// NodeHash returns the hash of a node's name for Score.
func NodeHash(name string) uint64 { return xxhash.Sum64String(name) }
