package settings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/settings/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		s, err := Load(file)
		assert.NilError(t, err, file)
		assert.Equal(t, s.CallerAddress, s.CallerListen)
		assert.Equal(t, time.Duration(s.Platform.Timeout), DefaultPlatformTimeout)
	}
}

func TestEveryFaultIsNamed(t *testing.T) {
	_, err := Parse([]byte(`{"nmae": "entry-1", "caller_listen": "7001", "operator_key": "short", "log": {"level": "loud"}, "tls": {"certificate_file": "c.pem"}, "entry_max_age": "10"}`))
	for _, want := range []string{
		`$.nmae: unknown field; did you mean "name"?`, "$.name:", "$.data_centre:", "$.caller_listen:", "$.operator_listen:", "$.peer_listen:",
		"$.operator_key: want a key of at least 16 bytes", "$.fleet_key:", "$.platform.url:", "$.log.level:", "$.tls:", "$.entry_max_age:",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestWrittenSettingsCanBeRead(t *testing.T) {
	s, err := Load("../../examples/settings/entry-1.json")
	assert.NilError(t, err)
	again, err := Parse(s.JSON())
	assert.NilError(t, err)
	assert.DeepEqual(t, s, again)
	assert.Assert(t, strings.Contains(string(s.JSON()), `"poll_interval": "1s"`))
}
