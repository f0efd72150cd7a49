package node

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// stored is a record that the platform keeps by era.
type stored[R any] struct {
	record R
	found  bool
	// isFormer is set if the record is of an earlier era; version is then 0, since it has to be written anew.
	isFormer bool
	version  object.Version
	era      uint64
}

// readInEra reads a record that is named by its era.
func readInEra[R any](ctx context.Context, p Platform, kind, name string) (stored[R], error) {
	o, err := object.GetInEra(ctx, p, kind, name)
	if errors.Is(err, object.ErrNotFound) {
		return stored[R]{era: o.Era}, nil
	}
	if err != nil {
		return stored[R]{}, err
	}
	s := stored[R]{found: true, isFormer: o.IsFormer(), era: o.Era}
	if !s.isFormer {
		s.version = o.Object.Version
	}
	if err := json.Unmarshal(o.Object.Value, &s.record); err != nil {
		return stored[R]{}, merry.Prependf(err, "%s %s", kind, name)
	}
	return s, nil
}
