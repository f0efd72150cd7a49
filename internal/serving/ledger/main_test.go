package ledger

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

// TestMain fixes the seed and the number of generated cases.
func TestMain(m *testing.M) { proptest.Main(m, 1000) }
