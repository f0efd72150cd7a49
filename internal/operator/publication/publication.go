package publication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/catalog/release"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/audit"
	"github.com/lacewingdrift/lacewingdrift/internal/operator/edit"
	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

const keepReleases = 20

// Head is the platform's head object: the release in force and the change that put it there.
type Head struct {
	release.Head
	Change audit.Record `json:"change"`
}

// Options is what an operator asks for.
type Options struct {
	Operator string
	Reason   string
	// Force overrides the rules that may be overridden; it needs a reason.
	Force bool
	// DryRun shows what would change and publishes nothing.
	DryRun bool
}

// Result is what came of an order.
type Result struct {
	Number  uint64           `json:"number"`
	Changes []release.Change `json:"changes"`
	Release *release.Release `json:"-"`
}

// ConflictError says that another publish came first.
type ConflictError struct {
	Head Head
}

// Error names who was first.
func (r *ConflictError) Error() string {
	return fmt.Sprintf("publish: %s published release %d first", r.Head.Operator, r.Head.Number)
}

// Publisher publishes.
type Publisher struct {
	Editor edit.Editor
	// HighestNumber is the highest release number seen on any node: a new one is above it, even if the platform was set back.
	HighestNumber func() uint64
}

// Publish checks the objects, packs them and moves the head: *edit.Refusal for faults, *Race if another was first.
func (p Publisher) Publish(ctx context.Context, w Options) (Result, error) {
	c := p.change(w, audit.Publish)
	set, err := p.Editor.LoadSet(ctx)
	if err != nil {
		return Result{}, p.refused(ctx, c, err)
	}
	if faults := set.Validate(); len(faults) > 0 {
		forced := w.Force && w.Reason != "" && release.CanForce(faults)
		if !forced {
			return Result{}, p.refused(ctx, c, &edit.ValidationError{Faults: faults})
		}
		c.Forced = true
	}
	chunks, err := release.Pack(set)
	if err != nil {
		return Result{}, p.refused(ctx, c, err)
	}
	old, version, err := p.CurrentHead(ctx)
	if err != nil {
		return Result{}, err
	}
	current, err := p.LoadRelease(ctx, old.Head)
	if err != nil {
		return Result{}, err
	}
	changes := release.Diff(current.Set, set)
	if w.DryRun {
		return Result{Number: old.Number, Changes: changes}, nil
	}
	if err := p.writeChunks(ctx, current, chunks); err != nil {
		return Result{}, err
	}
	next, err := p.move(ctx, old, version, hashes(chunks), c)
	if err != nil {
		return Result{}, err
	}
	// Another publish may have tidied away a chunk that this one found in place.
	if err := p.writeChunks(ctx, current, chunks); err != nil {
		return Result{}, err
	}
	r, err := current.Build(next.Head, chunks)
	return Result{Number: next.Number, Changes: changes, Release: r}, err
}

// Rollback publishes the content of an earlier release under a new number.
func (p Publisher) Rollback(ctx context.Context, w Options, number uint64) (Result, error) {
	c := p.change(w, audit.Rollback)
	o, err := p.store().Get(ctx, release.HistoryKind, historyName(number))
	if errors.Is(err, object.ErrNotFound) {
		return Result{}, p.refused(ctx, c, merry.Errorf("release %d is not kept", number))
	}
	if err != nil {
		return Result{}, err
	}
	var was Head
	if err := json.Unmarshal(o.Value, &was); err != nil {
		return Result{}, merry.Prependf(err, "release %d", number)
	}
	old, version, err := p.CurrentHead(ctx)
	if err != nil {
		return Result{}, err
	}
	current, err := p.LoadRelease(ctx, old.Head)
	if err != nil {
		return Result{}, err
	}
	then, err := p.LoadRelease(ctx, was.Head)
	if err != nil {
		return Result{}, p.refused(ctx, c, err)
	}
	next, err := p.move(ctx, old, version, was.Chunks, c)
	if err != nil {
		return Result{}, err
	}
	r, err := then.Build(next.Head, nil)
	return Result{Number: next.Number, Changes: release.Diff(current.Set, then.Set), Release: r}, err
}

func (p Publisher) store() object.Store { return p.Editor.Store }

func (p Publisher) change(w Options, act audit.Action) audit.Record {
	return audit.Record{ID: p.Editor.NewID(), Operator: w.Operator, Time: p.Editor.Now().UTC(), Action: act, Object: release.HeadKind + "/" + release.HeadName, Reason: w.Reason}
}

func (p Publisher) refused(ctx context.Context, c audit.Record, why error) error {
	c.Refused = why.Error()
	if err := p.Editor.Trail.Write(ctx, c); err != nil {
		return errors.Join(why, err)
	}
	return why
}

// CurrentHead reads the head; number 0 and version 0 mean that nothing was ever published.
func (p Publisher) CurrentHead(ctx context.Context) (Head, uint64, error) {
	o, err := p.store().Get(ctx, release.HeadKind, release.HeadName)
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, merry.Prepend(err, "read head")
	}
	var h Head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return Head{}, 0, merry.Prepend(err, "read head")
	}
	return h, o.Version, nil
}

// LoadRelease reads a release whole.
func (p Publisher) LoadRelease(ctx context.Context, h release.Head) (*release.Release, error) {
	var chunks []release.Chunk
	for _, hash := range h.Chunks {
		o, err := p.store().Get(ctx, release.ChunkKind, hash)
		if err != nil {
			return nil, merry.Prependf(err, "load release %d", h.Number)
		}
		chunks = append(chunks, release.Chunk{Hash: hash, Data: o.Value})
	}
	var none *release.Release
	return none.Build(h, chunks)
}

func hashes(chunks []release.Chunk) []string {
	var list []string
	for _, c := range chunks {
		list = append(list, c.Hash)
	}
	return list
}

// writeChunks creates the chunks that the current release lacks; one that is there has the same content by its name.
func (p Publisher) writeChunks(ctx context.Context, current *release.Release, chunks []release.Chunk) error {
	for _, c := range chunks {
		if _, ok := current.Chunk(c.Hash); ok {
			continue
		}
		if err := p.writeChunk(ctx, c); err != nil {
			return merry.Prepend(err, "publish")
		}
	}
	return nil
}

const chunkTries = 3

func (p Publisher) writeChunk(ctx context.Context, c release.Chunk) error {
	var err error
	for range chunkTries {
		_, err = p.store().Put(ctx, release.ChunkKind, c.Hash, 0, json.RawMessage(c.Data))
		var conflict *object.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
	}
	return err
}

// move puts a new head in place of the old one; a lost answer is settled by the id in the head.
func (p Publisher) move(ctx context.Context, old Head, version uint64, chunks []string, c audit.Record) (Head, error) {
	if err := p.remember(ctx, old); err != nil {
		return Head{}, err
	}
	number := max(old.Number, p.HighestNumber()) + 1
	next := Head{Head: release.Head{Number: number, ID: c.ID, Operator: c.Operator, Reason: c.Reason, Chunks: chunks}, Change: c}
	_, err := p.store().Put(ctx, release.HeadKind, release.HeadName, version, next)
	if err != nil {
		if err := p.settle(ctx, next, version, err); err != nil {
			return Head{}, p.refused(ctx, c, err)
		}
	}
	if err := p.Editor.Trail.Write(ctx, next.Change); err != nil {
		return next, nil
	}
	p.tidy(ctx, next)
	return next, nil
}

func (p Publisher) settle(ctx context.Context, next Head, version uint64, err error) error {
	there, now, readErr := p.CurrentHead(ctx)
	switch {
	case readErr != nil:
		return merry.Prepend(err, "publish: whether it took effect is not known")
	case there.ID == next.ID:
		return nil
	case now != version:
		return &ConflictError{Head: there}
	default:
		return err
	}
}

// remember makes sure that a head's audit record and its place in the history are there before it is replaced.
func (p Publisher) remember(ctx context.Context, h Head) error {
	if h.Number == 0 {
		return nil
	}
	if err := p.Editor.Trail.Write(ctx, h.Change); err != nil {
		return err
	}
	_, err := p.store().Put(ctx, release.HistoryKind, historyName(h.Number), 0, h)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return merry.Prepend(err, "publish")
}

func historyName(number uint64) string { return fmt.Sprintf("%012d", number) }

// tidy drops what only releases beyond the kept ones need; what fails is left for the next publish.
func (p Publisher) tidy(ctx context.Context, head Head) {
	l, err := p.store().List(ctx, release.HistoryKind, "")
	if err != nil || len(l.Items) <= keepReleases {
		return
	}
	used := map[string]bool{}
	for _, hash := range head.Chunks {
		used[hash] = true
	}
	old := l.Items[:len(l.Items)-keepReleases]
	for _, o := range l.Items[len(old):] {
		for _, hash := range headOf(o).Chunks {
			used[hash] = true
		}
	}
	for _, o := range old {
		for _, hash := range headOf(o).Chunks {
			p.drop(ctx, release.ChunkKind, hash, used)
		}
		p.drop(ctx, release.HistoryKind, o.Name, nil)
	}
	_ = p.Editor.Trail.Trim(ctx)
}

func headOf(o object.Object) Head {
	var h Head
	_ = json.Unmarshal(o.Value, &h)
	return h
}

func (p Publisher) drop(ctx context.Context, kind, name string, used map[string]bool) {
	if used[name] {
		return
	}
	o, err := p.store().Get(ctx, kind, name)
	if err == nil {
		_ = p.store().Delete(ctx, kind, name, o.Version)
	}
}
