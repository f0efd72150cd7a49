package owner

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

// TestMain fixes the cases that are drawn.
func TestMain(m *testing.M) { proptest.Main(m, 1000) }
