package rollout

import (
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/registry"
)

// warmUp is how long the response times of a target that has started say nothing of its version.
const warmUp = 5 * time.Second

// withdrawnLifetime is how long a withdrawn version gets nothing even while it has no targets: some may still be starting, or restart
// after a crash.
const withdrawnLifetime = time.Minute

// maxListWait bounds how long a node that has started refuses requests because it has not read the operators' orders.
const maxListWait = 5 * time.Second

// KeeperConfig holds the settings of a Keeper.
type KeeperConfig struct {
	// Self is the name of this node, StartedAt its start time in Unix milliseconds.
	Self      string
	StartedAt int64
	Limits    Limits
}

// Keeper holds what a node knows of the rollouts of all services. It is safe for concurrent use.
type Keeper struct {
	cfg KeeperConfig
	// offset is where the node begins among the targets that are tried, so that not all nodes begin at the same one.
	offset int
	// watched is the number of services with a rollout or a withdrawn version; requests of other services pass unchanged.
	watched atomic.Int32
	// isListed is set once the operators' orders have been read. Before, any target may be that of a new version.
	isListed atomic.Bool

	mu       sync.Mutex
	rollouts map[string]*tracked
	// withdrawn holds, by service, the versions of orders that ended without being completed, and when these last had targets. Their
	// targets leave some time later.
	withdrawn map[string]map[string]time.Time
	// running is the number of this node's requests by service and version.
	running map[string]map[string]int
}

// tracked is one rollout.
type tracked struct {
	progress Progress
	own      Sum
	evidence Evidence
	// arrived are reports that are not in the evidence yet, as of takenAt; heardAt is when most nodes were last heard.
	arrived          []heardReport
	takenAt, heardAt time.Time
	// sum is the sum of the evidence as of summedAt.
	sum      Sum
	summedAt time.Time
	// fleet and local are the earlier sums to compare with, of the whole fleet and of this node.
	fleet, local marks
	// seenAt is when the node last looked at the rollout.
	seenAt time.Time
	// hasNews is set if a request has failed at the new version since the last report.
	hasNews bool
}

// NewKeeper returns a keeper without rollouts.
func NewKeeper(cfg KeeperConfig) *Keeper {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cfg.Self))
	return &Keeper{cfg: cfg, offset: int(h.Sum32() % 1024), rollouts: map[string]*tracked{}, withdrawn: map[string]map[string]time.Time{}, running: map[string]map[string]int{}}
}

// IsEnabled reports whether the deployment has rollouts at all.
func (k *Keeper) IsEnabled() bool { return k != nil && k.cfg.Limits.Share > 0 }

// SetOrder takes in an order and its stored status at now. It returns the progress and whether the order or its state is new.
func (k *Keeper) SetOrder(now time.Time, o Order, s Status) (Progress, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := s.State
	if s.Version != o.Version {
		// The status is that of an earlier order under the same name.
		state = ""
	}
	t := k.rollouts[o.Service]
	isNew := t == nil || !t.progress.Order.Is(o)
	if isNew {
		if t != nil && t.progress.State != Completed {
			k.withdraw(now, o.Service, t.progress.Order.Version)
		}
		if s.Version != o.Version && s.State != "" && s.State != Completed {
			// The node has not seen the order before this one, which was replaced before it was completed.
			k.withdraw(now, o.Service, s.Version)
		}
		began := s.Began
		if state == "" {
			began = time.Time{}
		}
		t = &tracked{progress: NewProgress(now, o, began), evidence: NewEvidence(o), seenAt: now}
		k.rollouts[o.Service] = t
		delete(k.withdrawn[o.Service], o.Version)
	}
	before := t.progress.State
	t.progress = t.progress.WithState(state)
	t.progress.Order.Duration = o.Duration
	k.count()
	return t.progress, isNew || before != t.progress.State
}

// RemoveOrder ends the rollout of a service at now. Unless it was completed, nothing more goes to its version.
func (k *Keeper) RemoveOrder(now time.Time, service string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.rollouts[service]; t != nil {
		if t.progress.State != Completed {
			k.withdraw(now, service, t.progress.Order.Version)
		}
		delete(k.rollouts, service)
	}
	k.count()
}

// RetainOrders ends the rollouts of all other services at now, after all orders have been read.
func (k *Keeper) RetainOrders(now time.Time, services map[string]bool) {
	k.isListed.Store(true)
	for _, s := range k.services() {
		if !services[s] {
			k.RemoveOrder(now, s)
		}
	}
}

func (k *Keeper) services() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []string
	for s := range k.rollouts {
		list = append(list, s)
	}
	return list
}

func (k *Keeper) withdraw(now time.Time, service, version string) {
	if k.withdrawn[service] == nil {
		k.withdrawn[service] = map[string]time.Time{}
	}
	k.withdrawn[service][version] = now
}

// isWithdrawn reports whether a version of a service gets nothing more.
func (k *Keeper) isWithdrawn(service, version string) bool {
	_, ok := k.withdrawn[service][version]
	return ok
}

func (k *Keeper) count() {
	n := len(k.rollouts)
	for _, versions := range k.withdrawn {
		if len(versions) > 0 {
			n++
		}
	}
	k.watched.Store(int32(n))
}

// ForgetGone forgets the withdrawn versions that have had no target for withdrawnLifetime, and returns whether there are others.
func (k *Keeper) ForgetGone(now time.Time, r *registry.Registry) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.withdrawn) == 0 {
		return false
	}
	for service, versions := range k.withdrawn {
		for _, t := range r.Targets(service) {
			if _, ok := versions[t.Software]; ok {
				versions[t.Software] = now
			}
		}
		for v, at := range versions {
			if now.Sub(at) > withdrawnLifetime {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(k.withdrawn, service)
		}
	}
	k.count()
	return len(k.withdrawn) > 0
}

// isUnread reports whether the node may not send anything for lack of the operators' orders.
func (k *Keeper) isUnread(now time.Time) bool {
	return !k.isListed.Load() && now.Sub(time.UnixMilli(k.cfg.StartedAt)) < maxListWait
}

// Lists returns the targets of a service to which the next n requests may be sent, in lists to be tried one after the other.
func (k *Keeper) Lists(now time.Time, service string, targets []registry.Target, n int, isRetry bool) [][]registry.Target {
	if !k.IsEnabled() {
		return [][]registry.Target{targets}
	}
	if k.isUnread(now) {
		return [][]registry.Target{nil}
	}
	if k.watched.Load() == 0 {
		return [][]registry.Target{targets}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	targets = k.permitted(service, targets)
	t := k.rollouts[service]
	if t == nil {
		return [][]registry.Target{targets}
	}
	k.advance(now, t, targets)
	choice := t.progress.Choose(now, k.cfg.Limits, t.own, n)
	if isRetry && choice == CanariesFirst {
		choice = OldOnly
	}
	first := t.progress.Order.Targets(choice, targets, k.cfg.Limits)
	if choice == CanariesFirst {
		first = rotated(first, k.offset+t.own.Sent)
	}
	if choice == CanariesFirst || choice == NewFirst {
		return [][]registry.Target{first, t.progress.Order.Targets(OldOnly, targets, k.cfg.Limits)}
	}
	return [][]registry.Target{first}
}

// rotated returns a list that begins at the nth target. Equally loaded targets are used in the order of the list, and a verdict leaves out
// the worst of them, so that little is known of the version if one gets most requests.
func rotated(list []registry.Target, n int) []registry.Target {
	if len(list) < 2 {
		return list
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}

// permitted leaves out the targets of withdrawn versions.
func (k *Keeper) permitted(service string, targets []registry.Target) []registry.Target {
	if len(k.withdrawn[service]) == 0 {
		return targets
	}
	list := make([]registry.Target, 0, len(targets))
	for _, t := range targets {
		if !k.isWithdrawn(service, t.Software) {
			list = append(list, t)
		}
	}
	return list
}

// resume records that the node looks at the rollout at now. A node that has not done so for long was frozen: others may have left the
// version since then.
func (t *tracked) resume(now time.Time) {
	if now.Sub(t.seenAt) > evidenceLifetime {
		t.progress = t.progress.WithoutShift()
	}
	t.seenAt = now
}

func (k *Keeper) advance(now time.Time, t *tracked, targets []registry.Target) {
	t.resume(now)
	hasTargets := false
	for _, x := range targets {
		hasTargets = hasTargets || (x.Software == t.progress.Order.Version && !x.Cold(now))
	}
	t.progress = t.progress.WithTime(now, hasTargets)
}

// Send is one or more requests that were sent to a target.
type Send struct {
	service, software string
	order             Order
	response          Response
	at                time.Time
	isTracked         bool
}

// IsTracked reports whether there was a rollout when the requests were sent.
func (s Send) IsTracked() bool { return s.isTracked }

// IsActive reports whether there is a rollout of a service, as far as the node knows, or a version of it was withdrawn.
func (k *Keeper) IsActive(now time.Time, service string) bool {
	if !k.IsEnabled() {
		return false
	}
	if k.isUnread(now) {
		return true
	}
	if k.watched.Load() == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rollouts[service] != nil || len(k.withdrawn[service]) > 0
}

// IsShifted reports whether all new requests for a service go to the new version.
func (k *Keeper) IsShifted(now time.Time, service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.rollouts[service]
	return t != nil && t.progress.Step(now) == Shifted
}

// SendRequest describes what is sent to a target.
type SendRequest struct {
	Target registry.Target
	Route  string
	// Count is the number of requests, or of pieces of a batch call.
	Count int
	// IsRetry is set if they have been sent before.
	IsRetry bool
}

// Begin counts requests that are about to be sent at now. It returns false if the rollout of the service does not let them go to that
// target.
func (k *Keeper) Begin(now time.Time, r SendRequest) (Send, bool) {
	if !k.IsEnabled() {
		return Send{}, true
	}
	if k.isUnread(now) {
		return Send{}, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	service, software := r.Target.Service, r.Target.Software
	if k.isWithdrawn(service, software) {
		return Send{}, false
	}
	s := Send{service: service, software: software, at: now}
	if t := k.rollouts[service]; t != nil {
		if !t.begin(now, k.cfg.Limits, r) {
			return Send{}, false
		}
		s.isTracked, s.order = true, t.progress.Order
		s.response.Key.Route = r.Route
		if software == t.progress.Order.Version {
			s.response.Key.Target = r.Target.ID
		}
		started := time.UnixMilli(r.Target.StartedAt)
		s.response.IsWarmingUp = r.Target.Cold(now) || (now.Sub(started) >= 0 && now.Sub(started) < warmUp)
	}
	if k.running[service] == nil {
		k.running[service] = map[string]int{}
	}
	k.running[service][software]++
	return s, true
}

func (t *tracked) begin(now time.Time, l Limits, r SendRequest) bool {
	t.resume(now)
	isNew := r.Target.Software == t.progress.Order.Version
	choice := t.progress.Choose(now, l, t.own, r.Count)
	if isNew && (choice == OldOnly || (choice == CanariesFirst && r.IsRetry)) {
		return false
	}
	if !isNew && choice == NewOnly {
		return false
	}
	if !r.IsRetry {
		t.own.Requests += r.Count
	}
	if isNew {
		t.own.Sent += r.Count
	}
	return true
}

// Result is how a send ended.
type Result string

// The results.
const (
	// Succeeded sends got a response without an error.
	Succeeded Result = "succeeded"
	// Failed sends got an error, a broken response or none.
	Failed Result = "failed"
	// Unknown sends say nothing of their target: the caller left, or the target did not run the request.
	Unknown Result = "unknown"
)

// End counts the end of a send at now.
func (k *Keeper) End(now time.Time, s Send, r Result) {
	if s.service == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := k.running[s.service]; n != nil {
		if n[s.software]--; n[s.software] <= 0 {
			delete(n, s.software)
		}
	}
	t := k.rollouts[s.service]
	if r == Unknown || !s.isTracked || t == nil || !t.progress.Order.Is(s.order) {
		return
	}
	s.response.Failed, s.response.Took = r == Failed, now.Sub(s.at)
	t.own = t.own.WithResponse(s.response)
	if r == Failed && s.response.Key.Target != "" {
		t.hasNews = true
	}
}

// oldRunning returns the number of this node's requests that run at other versions than the order's.
func (k *Keeper) oldRunning(o Order) int {
	n := 0
	for software, running := range k.running[o.Service] {
		if software != o.Version {
			n += running
		}
	}
	return n
}
