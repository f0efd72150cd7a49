package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/serving/batch"
)

// logUnknownFigures logs once for each service that its targets report more of their load than is used; the lock is held.
func (d *Dispatcher) logUnknownFigures(service string, r batch.Reply) {
	if r.UnknownFigures == 0 || d.unknownFigures[service] {
		return
	}
	d.unknownFigures[service] = true
	d.cfg.Log.WithFields(logrus.Fields{"service": service, "figures": r.UnknownFigures}).
		Warn("desk: targets report load figures that this version does not know; the known ones are used")
}
