package daemon

import (
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/verbenabend/verbenabend/internal/settings"
)

// NewLogger returns the logger that the settings describe, on standard error.
func NewLogger(s *settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       s.Name,
		Level:      hclog.LevelFromString(s.Log.Level),
		JSONFormat: s.Log.Format == "json",
		Output:     os.Stderr,
	})
}
