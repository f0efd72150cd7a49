package node

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

// TestMain fixes the cases that are drawn. The holes found in the wardens' word took thousands of them to show.
func TestMain(m *testing.M) { proptest.Main(m, 60000) }
