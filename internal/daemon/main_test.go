package daemon

import (
	"testing"

	"github.com/verbenabend/verbenabend/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
