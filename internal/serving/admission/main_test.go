package admission

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/fixed"
)

// TestMain fixes the cases that are drawn.
func TestMain(m *testing.M) { fixed.Main(m, 1000) }
