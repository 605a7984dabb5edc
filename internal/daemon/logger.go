package daemon

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/verbenabend/verbenabend/internal/settings"
)

// NewLogger returns a logger to standard error with the level and format of the settings.
func NewLogger(s *settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       s.Name,
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == "json",
		Output:     os.Stderr,
	})
}
