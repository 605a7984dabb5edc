// Package prefix computes the identity of prompt prefixes: a chain of hashes,
// one a cache piece, and the boundaries of the prompt's levels within it.
// A chain is scoped by organisation, weights and model, so that equal text of
// another organisation or of older weights never has an equal hash.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Scope separates caches that must never be shared.
type Scope struct {
	Organisation string
	// Weights is the model's name, version and adapter.
	Weights string
}

// Chain identifies every prefix of one prompt.
type Chain struct {
	// Pieces holds one hash a cache piece; each covers all text before it.
	Pieces []uint64
	// Levels holds, for each level of the prompt, the hash of all text up to its end.
	Levels []uint64
	// LevelPieces holds, for each level, the number of whole pieces up to its end.
	LevelPieces []int
	// Bytes is the length of the prompt's text.
	Bytes int
	// PieceBytes is the size of a piece.
	PieceBytes int
	// Parts holds, for each level, the key of the level's own part, as PartKey
	// gives it; nil for prompts that are not given by parts.
	Parts []uint64
}

// New computes the chain of a prompt given by its levels. Work is linear in
// the text; nothing of the text is kept.
func New(scope Scope, levels []string, pieceBytes int) Chain {
	c := Chain{PieceBytes: pieceBytes, Levels: make([]uint64, 0, len(levels)), LevelPieces: make([]int, 0, len(levels))}
	d := xxhash.New()
	writeField(d, scope.Organisation)
	writeField(d, scope.Weights)
	room := pieceBytes
	for _, text := range levels {
		c.Bytes += len(text)
		for len(text) >= room {
			_, _ = d.WriteString(text[:room])
			text = text[room:]
			room = pieceBytes
			c.Pieces = append(c.Pieces, d.Sum64())
		}
		_, _ = d.WriteString(text)
		room -= len(text)
		c.Levels = append(c.Levels, d.Sum64())
		c.LevelPieces = append(c.LevelPieces, len(c.Pieces))
	}
	return c
}

// HomeKey returns the hash by which the prompt's home engines are chosen: the
// deepest level that other prompts share, which is the one before the last.
func (c Chain) HomeKey() uint64 {
	switch n := len(c.Levels); n {
	case 0:
		return 0
	case 1:
		if len(c.Pieces) > 0 {
			return c.Pieces[0]
		}
		return c.Levels[0]
	default:
		return c.Levels[n-2]
	}
}

func writeField(d *xxhash.Digest, s string) {
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], uint32(len(s)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(s)
}

// Part is one part of a prompt that its caller names and counts.
type Part struct {
	ID     string
	Tokens int
}

// OfParts returns the chain of a prompt given by its parts; its pieces are
// tokens. owner separates prompts that must not be shared.
func OfParts(owner string, parts []Part) Chain {
	c := Chain{PieceBytes: 1, Levels: make([]uint64, 0, len(parts)), LevelPieces: make([]int, 0, len(parts)), Parts: make([]uint64, 0, len(parts))}
	d := xxhash.New()
	writeField(d, owner)
	for _, p := range parts {
		writeField(d, p.ID)
		c.Bytes += p.Tokens
		c.Levels = append(c.Levels, d.Sum64())
		c.LevelPieces = append(c.LevelPieces, c.Bytes)
		c.Parts = append(c.Parts, PartKey(owner, p.ID))
	}
	return c
}

// PartKey returns the key of one part of a prompt, whatever stands before it.
func PartKey(owner, id string) uint64 {
	d := xxhash.New()
	writeField(d, owner)
	writeField(d, id)
	return d.Sum64()
}
