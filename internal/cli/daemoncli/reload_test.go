package daemoncli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/platform"
)

const startSettings = `node=front-a-1
zone=a
ip=10.0.0.1
zones.a=north
listen.front=10.0.0.1:1
listen.ready=10.0.0.1:2
listen.directory=10.0.0.1:3
listen.control=10.0.0.1:4
portRange=10,20
seeds=10.0.0.1:4,10.0.0.2:4
firstStart=true
bounds.graceS=8
platform.addr=10.9.0.1:80
unknown.name=1
`

// appliedSettings are the arguments of one call of ApplySettings or RejectSettings.
type appliedSettings struct {
	gateway.DynamicSettings
	pending  []string
	rejected error
}

type recordingUser chan appliedSettings

func (u recordingUser) ApplySettings(s gateway.DynamicSettings, pending []string) {
	u <- appliedSettings{DynamicSettings: s, pending: pending}
}

func (u recordingUser) RejectSettings(err error) { u <- appliedSettings{rejected: err} }

// startReloader follows a file with startSettings. replace replaces its content at once and
// sends a signal.
func startReloader(t *testing.T) (user recordingUser, replace func(old, new string)) {
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(file, []byte(startSettings), 0o600))
	started, content, err := platform.LoadSettings(file)
	assert.NilError(t, err)
	user = make(recordingUser, 16)
	wake := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- newReloader(file, content, started, user).run(ctx, wake) }()
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
	return user, func(old, new string) {
		assert.NilError(t, os.WriteFile(file+".new", []byte(strings.Replace(startSettings, old, new, 1)), 0o600))
		assert.NilError(t, os.Rename(file+".new", file))
		wake <- syscall.SIGHUP
	}
}

func (u recordingUser) next(t *testing.T) appliedSettings {
	t.Helper()
	select {
	case a := <-u:
		return a
	case <-time.After(20 * time.Second):
		t.Fatal("the change was not noticed")
		panic("unreachable")
	}
}

// Guards against a daemon that keeps the seeds from its start after a signal.
func TestChangedSeedsAreApplied(t *testing.T) {
	user, replace := startReloader(t)
	replace("seeds=10.0.0.1:4,10.0.0.2:4", "seeds=10.0.0.5:4")
	a := user.next(t)
	assert.NilError(t, a.rejected)
	assert.DeepEqual(t, a.Seeds, []string{"10.0.0.5:4"})
	assert.Equal(t, len(a.pending), 0, "%v", a.pending)
	replace("zones.a=north", "zones.a=north\nzones.b=south")
	a = user.next(t)
	assert.DeepEqual(t, a.RegionByDataCentre, map[string]string{"a": "north", "b": "south"})
	assert.Equal(t, len(a.pending), 0, "%v", a.pending)
}

// A setting that a running daemon does not follow is named; those that it follows are applied.
func TestSettingsThatNeedRestartAreNamed(t *testing.T) {
	user, replace := startReloader(t)
	replace("firstStart=true\nbounds.graceS=8\nplatform.addr=10.9.0.1:80\nunknown.name=1", "firstStart=false\nbounds.graceS=9\nplatform.addr=10.9.0.2:80\nunknown.name=2")
	a := user.next(t)
	assert.DeepEqual(t, a.pending, []string{"bounds.graceS", "platform.addr"})
	assert.DeepEqual(t, a.Seeds, []string{"10.0.0.1:4", "10.0.0.2:4"})
}

// Settings with faults are rejected as a whole, with each fault, and the next good ones are used.
func TestFaultySettingsAreRejected(t *testing.T) {
	user, replace := startReloader(t)
	for _, c := range []struct{ old, new, want string }{
		{startSettings, startSettings[:strings.Index(startSettings, "platform")], "platform.addr: is required"},
		{"seeds=10.0.0.1:4,10.0.0.2:4", "seeds=10.0.0.5:4,10.0.0.", `seeds: "10.0.0." is not host:port`},
		{startSettings, "", "node: is required"},
		{"bounds.graceS=8", "bounds.graceS=soon", "bounds.graceS"},
		{"zone=a", "zone", "line 2: want name=value"},
	} {
		replace(c.old, c.new)
		assert.ErrorContains(t, user.next(t).rejected, c.want)
	}
	replace("seeds=10.0.0.1:4,10.0.0.2:4", "seeds=10.0.0.5:4")
	assert.DeepEqual(t, user.next(t).Seeds, []string{"10.0.0.5:4"})
}
