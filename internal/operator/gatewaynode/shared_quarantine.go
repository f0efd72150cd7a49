package gatewaynode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lacewingdrift/lacewingdrift/internal/fleet/quarantine"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const (
	// trialTimeout bounds the call of the store with which a node takes a trial, or records that it passed; that is tried up to
	// maxPassAttempts times.
	trialTimeout    = 300 * time.Millisecond
	maxPassAttempts = 5
)

// sharedQuarantine follows what the fleet shares about requests in quarantine, safe for concurrent use.
type sharedQuarantine struct {
	node   *Node
	keeper *quarantine.Keeper

	mu sync.Mutex
	// trials and version are those of the shared state as last read.
	trials  quarantine.Trials
	version object.Version
	// isMissing is set while the store has no shared state that can be read.
	isMissing bool
}

func newSharedQuarantine(n *Node, keeper *quarantine.Keeper) *sharedQuarantine {
	return &sharedQuarantine{node: n, keeper: keeper, isMissing: true}
}

func (s *sharedQuarantine) state() (trials quarantine.Trials, version object.Version, isMissing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trials, s.version, s.isMissing
}

// apply takes in the shared state from the store.
func (s *sharedQuarantine) apply(o object.Object) {
	state, err := s.node.cfg.Platform.ParseQuarantine(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Version < s.version && o.Version.Era() == s.version.Era() {
		return
	}
	s.version = o.Version
	if s.isMissing = err != nil; s.isMissing {
		s.node.view.logUnreadable(o, err)
		return
	}
	s.node.view.logReadable(o)
	s.trials = state.Trials
	now := s.node.cfg.Now()
	s.keeper.SetKey(now, state.Key)
	s.keeper.SetTrials(now, state.Trials)
}

// replace takes in a list of the nodes' objects.
func (s *sharedQuarantine) replace(l object.List) {
	for _, o := range l.Items {
		if o.Name == s.node.cfg.Platform.QuarantineName {
			s.apply(o)
			return
		}
	}
	s.remove()
}

func (s *sharedQuarantine) applyEvent(e object.Event) {
	if e.Type == object.Delete {
		s.remove()
		return
	}
	s.apply(e.Object)
}

// remove records that the store has no shared state: the next node with a crash to report writes it, with the key that it has.
func (s *sharedQuarantine) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.isMissing = 0, true
}

// ensureKey lets the node name requests as all others do: with the fleet's key, or by making its own key that of the fleet.
func (s *sharedQuarantine) ensureKey(ctx context.Context) error {
	for ctx.Err() == nil {
		trials, version, isMissing := s.state()
		if !isMissing {
			return nil
		}
		if _, err := s.put(ctx, version, quarantine.Shared{Key: s.keeper.Key(), Trials: trials}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// put writes the shared state if the store has it at a version, and takes in what the store has then.
func (s *sharedQuarantine) put(ctx context.Context, version object.Version, state quarantine.Shared) (isWritten bool, err error) {
	cfg := s.node.cfg
	o, err := cfg.Store.Put(object.WithPurpose(ctx, object.PurposeReport), cfg.Platform.NodeKind, cfg.Platform.QuarantineName, version, cfg.Platform.QuarantineEntry(state))
	var conflict *object.ConflictError
	switch {
	case err == nil:
		s.apply(o)
		return true, nil
	case errors.As(err, &conflict):
		s.apply(conflict.Current)
		return false, nil
	case errors.Is(err, object.ErrNotFound):
		s.remove()
		return false, nil
	default:
		return false, err
	}
}

// takeTrial reports whether this node may send a request in quarantine to a target. The store lets one node at a time take a trial.
func (s *sharedQuarantine) takeTrial(ctx context.Context, request quarantine.Trait) bool {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	trials, version, isMissing := s.state()
	if isMissing {
		return false
	}
	isTaken, err := s.put(ctx, version, quarantine.Shared{Key: s.keeper.Key(), Trials: trials.With(s.node.cfg.Now(), request)})
	fields := logrus.Fields{"service": request.Service, "fingerprint": request.ID, "taken": isTaken, "revision": version.Revision()}
	if err != nil {
		s.node.cfg.Log.WithError(err).WithFields(fields).Warn("fleet: trial of a request in quarantine could not be taken")
		return false
	}
	s.node.cfg.Log.WithFields(fields).Info("fleet: trial of a request in quarantine")
	return isTaken
}

// passTrial records that the trial of a request was answered, so that it may have another one if it comes into quarantine again.
func (s *sharedQuarantine) passTrial(request quarantine.Trait) {
	log := s.node.cfg.Log.WithFields(logrus.Fields{"service": request.Service, "fingerprint": request.ID})
	for range maxPassAttempts {
		trials, version, _ := s.state()
		ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
		isWritten, err := s.put(ctx, version, quarantine.Shared{Key: s.keeper.Key(), Trials: trials.Without(request)})
		cancel()
		if isWritten {
			log.Info("fleet: request in quarantine was answered")
			return
		}
		if err != nil {
			log.WithError(err).Warn("fleet: recording that a trial was answered failed")
			return
		}
	}
}
