package daemoncli

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/verbenabend/verbenabend/internal/filewatch"
	"github.com/verbenabend/verbenabend/internal/gateway"
	"github.com/verbenabend/verbenabend/platform"
)

const (
	// settingsReadInterval is how often the settings file is read again: it may change without a
	// signal.
	settingsReadInterval = time.Second
	// settingsSettleTime is how long changed settings must stay the same before they are used.
	settingsSettleTime = 100 * time.Millisecond
)

// settingsUser is a daemon that follows some of its settings.
type settingsUser interface {
	ApplySettings(s gateway.DynamicSettings, pending []string)
	RejectSettings(err error)
}

// reloader applies changes of the settings file to a running daemon.
type reloader struct {
	file string
	// content is what the file held at the start, started the settings from then.
	content []byte
	started *platform.Settings
	user    settingsUser
}

func newReloader(file string, content []byte, started *platform.Settings, user settingsUser) *reloader {
	return &reloader{file, content, started, user}
}

// run follows the file until ctx ends. A value on wake makes it read the file at once.
func (r *reloader) run(ctx context.Context, wake <-chan os.Signal) error {
	w := filewatch.Watcher{Path: r.file, Interval: settingsReadInterval, SettleTime: settingsSettleTime, OnChange: r.apply, OnError: r.user.RejectSettings}
	return w.Run(ctx, r.content, wake)
}

// apply applies the file's new content, or rejects it as a whole.
func (r *reloader) apply(content []byte) {
	s, err := platform.ParseSettings(content)
	if err != nil {
		r.user.RejectSettings(err)
		return
	}
	r.user.ApplySettings(s.Gateway.DynamicSettings, r.started.RestartNeeded(s))
}

// runWithReloads runs a daemon until ctx ends and applies changes of its settings meanwhile.
func runWithReloads(ctx context.Context, d *gateway.Daemon, r *reloader, wake <-chan os.Signal) error {
	followCtx, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		if err := r.run(followCtx, wake); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	err := d.Run(ctx)
	stop()
	return errors.CombineErrors(err, group.Wait())
}
