// Package testseed fixes the seed of property tests, so that every run of the
// test suite gives the same result. The environment variable VERBENABEND_SEED
// selects another seed.
package testseed

import (
	"flag"
	"os"
	"testing"

	// rapid registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Default is the seed that is used unless EnvVar is set.
const Default = "20261204"

// EnvVar is the environment variable that overrides Default.
const EnvVar = "VERBENABEND_SEED"

// Main sets the seed and runs the tests of a package; call it from TestMain.
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
