// Package filewatch follows the content of a file by reading it again and again. That works where
// the system does not tell of changes, and for files that are replaced as a whole.
package filewatch

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenabend/verbenabend/internal/backoff"
)

// Watcher follows the content of one file.
type Watcher struct {
	Path string
	// Interval is the time between two reads. It bounds how long a change goes unnoticed.
	Interval time.Duration
	// SettleTime is how long a new content must stay the same before it is used: the file may be
	// half written.
	SettleTime time.Duration
	// OnChange receives each new content, OnError the first error of a series of failed reads.
	OnChange func(content []byte)
	OnError  func(error)
}

// maxSettleReads bounds how often a file that keeps changing is read in a row.
const maxSettleReads = 10

// errUnsettled reports that the file kept changing while it was read.
var errUnsettled = errors.New("the file keeps changing")

// Run follows the file until ctx ends and returns the context's error. known is the content that is
// in use. A value on wake makes it read the file at once.
func (w *Watcher) Run(ctx context.Context, known []byte, wake <-chan os.Signal) error {
	ticker := time.NewTicker(w.Interval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		case <-ticker.C:
		}
		content, err := w.read(ctx, known)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if !failing {
				w.OnError(err)
			}
			failing = true
			continue
		}
		failing = false
		if !bytes.Equal(content, known) {
			known = content
			w.OnChange(content)
		}
	}
}

// read returns the content of the file. One other than known is read until it stays the same.
func (w *Watcher) read(ctx context.Context, known []byte) ([]byte, error) {
	content, err := os.ReadFile(w.Path)
	for range maxSettleReads {
		if err != nil || bytes.Equal(content, known) {
			return content, errors.Wrap(err, "read changed file")
		}
		if err := backoff.Sleep(ctx, w.SettleTime); err != nil {
			return nil, err
		}
		var again []byte
		again, err = os.ReadFile(w.Path)
		if err == nil && bytes.Equal(again, content) {
			return content, nil
		}
		content = again
	}
	return nil, errUnsettled
}
