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

const retainedReleases = 20

// Head is the platform's head object: the active release and the change that activated it.
type Head struct {
	release.Head
	Change audit.Record `json:"change"`
	// era is the platform's era in which this publication has written the head.
	era uint64
}

// Options are an operator's options for publishing or rolling back.
type Options struct {
	Operator string
	Reason   string
	// Force overrides the rules that may be overridden; it needs a reason.
	Force bool
	// DryRun computes the changes without publishing them.
	DryRun bool
}

// Result is the result of publishing or rolling back.
type Result struct {
	Number  uint64           `json:"number"`
	Changes []release.Change `json:"changes"`
	Release *release.Release `json:"-"`
}

// ConflictError reports that another release was published in the meantime.
type ConflictError struct {
	Head Head
}

// Error names the other release and its operator.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("publish: %s published release %d first", c.Head.Operator, c.Head.Number)
}

// Publisher publishes releases and rolls them back.
type Publisher struct {
	Editor edit.Editor
	// HighestNumber returns the highest release number seen on any node. A new number is above it, even if the platform
	// was restored to an earlier state.
	HighestNumber func() uint64
}

// Publish validates the objects, packs them and replaces the head; it returns an *edit.ValidationError for violations, a
// *ConflictError if another release was published first.
func (p Publisher) Publish(ctx context.Context, opts Options) (Result, error) {
	rec := p.newRecord(opts, audit.Publish)
	set, err := p.Editor.LoadSet(ctx)
	if err != nil {
		return Result{}, p.recordRefused(ctx, rec, err)
	}
	if violations := set.Validate(); len(violations) > 0 {
		forced := opts.Force && opts.Reason != "" && release.CanForce(violations)
		if !forced {
			return Result{}, p.recordRefused(ctx, rec, &edit.ValidationError{Violations: violations})
		}
		rec.Forced = true
	}
	chunks, err := release.Pack(set)
	if err != nil {
		return Result{}, p.recordRefused(ctx, rec, err)
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
	if opts.DryRun {
		return Result{Number: old.Number, Changes: changes}, nil
	}
	if err := p.writeChunks(ctx, current, chunks); err != nil {
		return Result{}, err
	}
	next, err := p.replaceHead(ctx, old, version, chunkHashes(chunks), rec)
	if err != nil {
		return Result{}, err
	}
	// A concurrent publication may have pruned a chunk that this one found in place.
	if err := p.writeChunks(ctx, current, chunks); err != nil {
		return Result{}, err
	}
	if err := p.confirmHead(ctx, next); err != nil {
		return Result{}, err
	}
	r, err := current.Build(next.Head, chunks)
	return Result{Number: next.Number, Changes: changes, Release: r}, err
}

// Rollback publishes the content of an earlier release under a new number.
func (p Publisher) Rollback(ctx context.Context, opts Options, number uint64) (Result, error) {
	rec := p.newRecord(opts, audit.Rollback)
	o, err := p.store().Get(ctx, release.HistoryKind, historyName(number))
	if errors.Is(err, object.ErrNotFound) {
		return Result{}, p.recordRefused(ctx, rec, merry.Errorf("release %d is not kept", number))
	}
	if err != nil {
		return Result{}, err
	}
	var earlierHead Head
	if err := json.Unmarshal(o.Value, &earlierHead); err != nil {
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
	earlier, err := p.LoadRelease(ctx, earlierHead.Head)
	if err != nil {
		return Result{}, p.recordRefused(ctx, rec, err)
	}
	next, err := p.replaceHead(ctx, old, version, earlierHead.Chunks, rec)
	if err != nil {
		return Result{}, err
	}
	if err := p.confirmHead(ctx, next); err != nil {
		return Result{}, err
	}
	r, err := earlier.Build(next.Head, nil)
	return Result{Number: next.Number, Changes: release.Diff(current.Set, earlier.Set), Release: r}, err
}

func (p Publisher) store() object.Store { return p.Editor.Store }

func (p Publisher) newRecord(opts Options, action audit.Action) audit.Record {
	return audit.Record{ID: p.Editor.NewID(), Operator: opts.Operator, Time: p.Editor.Now().UTC(), Action: action, Object: release.HeadKind + "/" + release.HeadName, Reason: opts.Reason}
}

func (p Publisher) recordRefused(ctx context.Context, rec audit.Record, reason error) error {
	rec.Refused = reason.Error()
	if err := p.Editor.Trail.Write(ctx, rec); err != nil {
		return errors.Join(reason, err)
	}
	return reason
}

// CurrentHead reads the head and the version on which its replacement is conditional; number 0 means that nothing has been
// published yet, and version 0 that the head has to be created.
func (p Publisher) CurrentHead(ctx context.Context) (Head, object.Version, error) {
	o, err := object.GetInEra(ctx, p.store(), release.HeadKind, release.HeadName)
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, merry.Prepend(err, "read head")
	}
	var h Head
	if err := json.Unmarshal(o.Object.Value, &h); err != nil {
		return Head{}, 0, merry.Prepend(err, "read head")
	}
	if o.IsFormer() {
		return h, 0, nil
	}
	return h, o.Object.Version, nil
}

// LoadRelease reads a release with all its chunks.
func (p Publisher) LoadRelease(ctx context.Context, h release.Head) (*release.Release, error) {
	var chunks []release.Chunk
	for _, hash := range h.Chunks {
		o, err := p.store().Get(ctx, release.ChunkKind, hash)
		if err != nil {
			return nil, merry.Prependf(err, "load release %d", h.Number)
		}
		chunks = append(chunks, release.Chunk{Hash: hash, Data: o.Value})
	}
	var empty *release.Release
	return empty.Build(h, chunks)
}

func chunkHashes(chunks []release.Chunk) []string {
	var list []string
	for _, c := range chunks {
		list = append(list, c.Hash)
	}
	return list
}

// writeChunks creates the chunks that the current release lacks; an existing chunk has the same content, because its
// name is its hash.
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

const chunkAttempts = 3

func (p Publisher) writeChunk(ctx context.Context, c release.Chunk) error {
	var err error
	for range chunkAttempts {
		_, err = p.store().Put(ctx, release.ChunkKind, c.Hash, 0, json.RawMessage(c.Data))
		var conflict *object.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
	}
	return err
}

// replaceHead replaces the head; after a lost response it determines the result from the ID in the head.
func (p Publisher) replaceHead(ctx context.Context, old Head, version object.Version, chunks []string, rec audit.Record) (Head, error) {
	if err := p.recordHistory(ctx, old); err != nil {
		return Head{}, err
	}
	number := max(old.Number, p.HighestNumber()) + 1
	next := Head{Head: release.Head{Number: number, ID: rec.ID, Operator: rec.Operator, Reason: rec.Reason, Chunks: chunks}, Change: rec}
	next.era = object.EraOf(p.store())
	_, err := p.store().Put(ctx, release.HeadKind, object.NameInEra(release.HeadName, next.era), version, next)
	if err != nil {
		if err := p.resolveWrite(ctx, next, version, err); err != nil {
			return Head{}, p.recordRefused(ctx, rec, err)
		}
	}
	if err := p.Editor.Trail.Write(ctx, next.Change); err != nil {
		return next, nil
	}
	p.prune(ctx, next)
	return next, nil
}

// confirmHead returns an error if the platform has come back from an older copy since a head was written, without that head.
func (p Publisher) confirmHead(ctx context.Context, h Head) error {
	if object.EraOf(p.store()) == h.era {
		return nil
	}
	current, _, err := p.CurrentHead(ctx)
	if err != nil {
		return merry.Prependf(err, "publish: whether release %d is kept is not known", h.Number)
	}
	if current.ID != h.ID {
		return merry.Errorf("publish: the platform came back from an older copy without release %d; publish again", h.Number)
	}
	return nil
}

func (p Publisher) resolveWrite(ctx context.Context, next Head, version object.Version, err error) error {
	current, currentVersion, readErr := p.CurrentHead(ctx)
	switch {
	case readErr != nil:
		return merry.Prepend(err, "publish: whether it took effect is not known")
	case current.ID == next.ID:
		return nil
	case currentVersion != version:
		return &ConflictError{Head: current}
	default:
		return err
	}
}

// recordHistory ensures that a head's audit record and its history entry exist before the head is replaced.
func (p Publisher) recordHistory(ctx context.Context, h Head) error {
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

// prune deletes the releases beyond the retained ones and the chunks that only they use; what fails is left to the next
// publication.
func (p Publisher) prune(ctx context.Context, head Head) {
	l, err := p.store().List(ctx, release.HistoryKind, "")
	if err != nil || len(l.Items) <= retainedReleases {
		return
	}
	used := map[string]bool{}
	for _, hash := range head.Chunks {
		used[hash] = true
	}
	old := l.Items[:len(l.Items)-retainedReleases]
	for _, o := range l.Items[len(old):] {
		for _, hash := range decodeHead(o).Chunks {
			used[hash] = true
		}
	}
	for _, o := range old {
		for _, hash := range decodeHead(o).Chunks {
			p.deleteUnlessUsed(ctx, release.ChunkKind, hash, used)
		}
		p.deleteUnlessUsed(ctx, release.HistoryKind, o.Name, nil)
	}
	_ = p.Editor.Trail.Trim(ctx)
}

func decodeHead(o object.Object) Head {
	var h Head
	_ = json.Unmarshal(o.Value, &h)
	return h
}

func (p Publisher) deleteUnlessUsed(ctx context.Context, kind, name string, used map[string]bool) {
	if used[name] {
		return
	}
	o, err := p.store().Get(ctx, kind, name)
	if err == nil {
		_ = p.store().Delete(ctx, kind, name, o.Version)
	}
}
