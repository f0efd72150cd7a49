package node

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

// TestMain fixes the seed and the number of generated cases. Faults in the witnesses' vouching showed only after
// thousands of cases.
func TestMain(m *testing.M) { proptest.Main(m, 60000) }
