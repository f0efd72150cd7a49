package gatewaynode

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/ratelimit"
)

// onNotice logs and counts what a target has said of itself, and lets waiting pieces be placed anew.
func (n *Node) onNotice(now time.Time, t notice.Target, what notice.Notice, from notice.Source) {
	target, _ := n.view.registry.Load().Target(t.ID)
	log := n.cfg.Log.WithFields(logrus.Fields{"target": t.ID, "service": target.Service, "state": string(target.State), "from": string(from)})
	switch what := what.(type) {
	case notice.Leaving:
		n.meter.CountNotice(target.Service, "leaving")
		log.Info("fleet: target says that it leaves")
		n.cfg.Connections.CloseIdle(target.Address)
	case notice.Pause:
		n.meter.CountNotice(target.Service, "pause")
		log.WithField("for_ms", what.Duration.Milliseconds()).Info("fleet: target wants no requests for a time")
		time.AfterFunc(what.Duration, n.dispatcher.Refresh)
	case notice.Limit:
		n.onLimit(now, t, what, target.Service, log)
		n.permits.TellKeepers(t, from)
		go func() {
			n.keeper.Prepare(ratelimit.Pool{Service: target.Service, Datacentre: target.Datacentre}, t)
			n.keeper.Refresh()
		}()
	}
	go n.dispatcher.Refresh()
}

// onLimit logs and counts a limit that is new, has changed or has ended.
func (n *Node) onLimit(now time.Time, t notice.Target, limit notice.Limit, service string, log logrus.FieldLogger) {
	if r, ok := n.notices.Board().LimitReport(now, t); ok {
		log = log.WithField("age_ms", now.Sub(r.HeardAt).Milliseconds())
	}
	if !limit.IsSet() {
		n.meter.CountNotice(service, "limit ended")
		log.Info("fleet: target names no limit any more")
		return
	}
	n.meter.CountNotice(service, "limit")
	log.WithField("limit", limit.PerSecond).Info("fleet: target names a limit of requests a second")
}

func (n *Node) onInvalidNotice(t notice.Target, err error) {
	n.cfg.Log.WithError(err).WithField("target", t.ID).Warn("fleet: target sent an invalid header")
}
