package owner

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

// TestMain fixes the seed and the number of the random cases.
func TestMain(m *testing.M) { proptest.Main(m, 1000) }
