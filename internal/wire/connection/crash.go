package connection

import (
	"context"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/notice"
	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// CrashDetector tells crashes of targets from other reasons why responses break off.
type CrashDetector struct {
	Connections *Pool
	Registry    func() *registry.Registry
	Notices     *notice.Keeper
}

// CrashedRun returns the run of a target that is ready by all accounts and refuses connections, and false if there is none. Cut
// links, lost VMs and truncated answers look different. The target may have started again since the request was sent.
func (d CrashDetector) CrashedRun(ctx context.Context, t registry.Target) (notice.Target, bool) {
	current, ok := d.Registry().Target(t.ID)
	if !ok || current.State != registry.Ready || d.Notices.Board().Leaving(current.Run()) {
		return notice.Target{}, false
	}
	return current.Run(), d.Connections.IsRefused(ctx, current.Address)
}
