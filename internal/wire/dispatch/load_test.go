package dispatch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// TestUnknownFiguresAreLoggedOnce guards against a log line for each response of a fleet whose targets report more than is known.
func TestUnknownFiguresAreLoggedOnce(t *testing.T) {
	d := newTestDispatcher(&fakeTargets{})
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	d.cfg.Log = log
	for i := range 6 {
		d.logUnknownFigures(fmt.Sprint("s-", i%2), batch.Reply{UnknownFigures: 2})
		d.logUnknownFigures("s-3", batch.Reply{})
	}
	if got, want := strings.Count(out.String(), "figures=2"), 2; got != want {
		t.Errorf("got %d lines for two services, want %d: %s", got, want, out.String())
	}
}
