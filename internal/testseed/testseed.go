// Package testseed fixes the seed of property tests, so that every run of the
// test suite gives the same verdict. The environment variable VERBENABEND_SEED
// selects another seed for longer searches.
package testseed

import (
	"flag"
	"os"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Default is the seed of every run that does not name another.
const Default = "20261204"

// EnvVar names the environment variable that overrides Default.
const EnvVar = "VERBENABEND_SEED"

// Main runs the tests of a package with the fixed seed; call it from TestMain.
func Main(m *testing.M) {
	seed := Default
	if s := os.Getenv(EnvVar); s != "" {
		seed = s
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
