package filewatch

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testSettleTime = 20 * time.Millisecond
	// timeout bounds the wait for what must happen.
	timeout = 20 * time.Second
)

// watch follows a new file with a content. Its values are those passed to OnChange and OnError.
func watch(t *testing.T, content string, interval time.Duration) (path string, wake chan os.Signal, changes chan string, failures chan error) {
	path = filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	wake, changes, failures = make(chan os.Signal, 1), make(chan string, 16), make(chan error, 16)
	w := &Watcher{Path: path, Interval: interval, SettleTime: testSettleTime, OnChange: func(c []byte) { changes <- string(c) }, OnError: func(err error) { failures <- err }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx, []byte(content), wake) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
	return path, wake, changes, failures
}

func receive[T any](t *testing.T, what string, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(timeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func TestChangeIsNoticedWithoutSignal(t *testing.T) {
	path, _, changes, _ := watch(t, "a", time.Millisecond)
	assert.NilError(t, os.WriteFile(path, []byte("b"), 0o600))
	assert.Equal(t, receive(t, "change", changes), "b")
}

func TestSignalReadsAtOnce(t *testing.T) {
	path, wake, changes, _ := watch(t, "a", time.Hour)
	assert.NilError(t, os.WriteFile(path, []byte("b"), 0o600))
	wake <- syscall.SIGHUP
	assert.Equal(t, receive(t, "change", changes), "b")
	wake <- syscall.SIGHUP // nothing new
	assert.NilError(t, os.WriteFile(path, []byte("c"), 0o600))
	wake <- syscall.SIGHUP
	assert.Equal(t, receive(t, "change", changes), "c")
}

// Guards against settings of which a part was taken for the whole while they were written.
func TestHalfWrittenFileIsNotUsed(t *testing.T) {
	path, wake, changes, _ := watch(t, "a", time.Hour)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0o600)
	assert.NilError(t, err)
	wake <- syscall.SIGHUP
	const parts = 5
	for range parts {
		_, err := file.WriteString("part ")
		assert.NilError(t, err)
		time.Sleep(testSettleTime / 4)
	}
	assert.NilError(t, file.Close())
	assert.Equal(t, receive(t, "change", changes), "part part part part part ")
}

func TestUnreadableFileIsReportedOnceAndReadAgain(t *testing.T) {
	path, _, changes, failures := watch(t, "a", time.Millisecond)
	assert.NilError(t, os.Remove(path))
	assert.ErrorIs(t, receive(t, "failure", failures), os.ErrNotExist)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(failures), 0)
	// Replaced as a whole, so that no part of it can be read.
	other := path + ".new"
	assert.NilError(t, os.WriteFile(other, []byte("b"), 0o600))
	assert.NilError(t, os.Rename(other, path))
	assert.Equal(t, receive(t, "change", changes), "b")
}
