package shutdown

import (
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/bench/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 2000) }
