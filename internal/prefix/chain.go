// Package prefix identifies prompt prefixes by a chain of hashes, one per cache
// block, and the boundaries of the prompt's levels within it. The hashes cover
// organisation, weights and model, so that equal text of another organisation or
// under older weights has other hashes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Scope separates caches that must not be shared. All fields are hashed.
type Scope struct {
	Organisation string
	// Weights identifies the model's name, version and adapter.
	Weights string
}

// Chain identifies every prefix of one prompt.
type Chain struct {
	// Blocks holds one hash per cache block; each covers all text up to its end.
	Blocks []uint64
	// Levels holds, for each level of the prompt, the hash of all text up to the end
	// of the level.
	Levels []uint64
	// LevelBlocks holds, for each level, the number of complete blocks up to its end.
	LevelBlocks []int
	// Bytes is the length of the prompt's text, or its tokens if given by parts.
	Bytes int
	// BlockSize is the size of a block, in the unit of Bytes.
	BlockSize int
	// Parts holds, for each level, the key of the level's own part, as returned by
	// PartKey; nil for prompts that are not given by parts.
	Parts []uint64
}

// New computes the chain of a prompt given by the texts of its levels, in time
// linear in the text. It does not retain the text.
func New(scope Scope, levels []string, blockBytes int) Chain {
	c := Chain{BlockSize: blockBytes, Levels: make([]uint64, 0, len(levels)), LevelBlocks: make([]int, 0, len(levels))}
	digest := xxhash.New()
	writeField(digest, scope.Organisation)
	writeField(digest, scope.Weights)
	blockRemaining := blockBytes
	for _, text := range levels {
		c.Bytes += len(text)
		for len(text) >= blockRemaining {
			_, _ = digest.WriteString(text[:blockRemaining])
			text = text[blockRemaining:]
			blockRemaining = blockBytes
			c.Blocks = append(c.Blocks, digest.Sum64())
		}
		_, _ = digest.WriteString(text)
		blockRemaining -= len(text)
		c.Levels = append(c.Levels, digest.Sum64())
		c.LevelBlocks = append(c.LevelBlocks, len(c.Blocks))
	}
	return c
}

// HomeKey returns the hash by which the prompt's home engines are chosen: that of
// the deepest level that other prompts may share, the one before the last. For a
// prompt of one level it is the hash of the first block, or of the level if it has
// no block; for a prompt without levels it is 0.
func (c Chain) HomeKey() uint64 {
	switch n := len(c.Levels); n {
	case 0:
		return 0
	case 1:
		if len(c.Blocks) > 0 {
			return c.Blocks[0]
		}
		return c.Levels[0]
	default:
		return c.Levels[n-2]
	}
}

func writeField(d *xxhash.Digest, s string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(s)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(s)
}

// Part is a part of a prompt for which the caller states an ID and a token count.
type Part struct {
	ID     string
	Tokens int
}

// NewFromParts returns the chain of a prompt given by its parts. Its blocks are single
// tokens and have no hashes. Prompts of different owners share no hashes.
func NewFromParts(owner string, parts []Part) Chain {
	c := Chain{BlockSize: 1, Levels: make([]uint64, 0, len(parts)), LevelBlocks: make([]int, 0, len(parts)), Parts: make([]uint64, 0, len(parts))}
	d := xxhash.New()
	writeField(d, owner)
	for _, p := range parts {
		writeField(d, p.ID)
		c.Bytes += p.Tokens
		c.Levels = append(c.Levels, d.Sum64())
		c.LevelBlocks = append(c.LevelBlocks, c.Bytes)
		c.Parts = append(c.Parts, PartKey(owner, p.ID))
	}
	return c
}

// PartKey returns the key of a part of a prompt, independent of the parts before it.
func PartKey(owner, id string) uint64 {
	d := xxhash.New()
	writeField(d, owner)
	writeField(d, id)
	return d.Sum64()
}
