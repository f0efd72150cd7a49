package object

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// ErrEraChanged ends a call whose parts, or whose condition, belong to different eras of the store. What it read is to be read
// again; whether it wrote is not known.
var ErrEraChanged = fmt.Errorf("the store came back from an older copy: %w", ErrGone)

// eraBits is the size of an era in a version.
const eraBits = 64 - eraShift

// Eras keeps the latest era of a store that a client knows; the zero value knows none.
type Eras struct {
	latest atomic.Uint64
}

// Latest returns the latest era that an answer has named.
func (e *Eras) Latest() uint64 { return e.latest.Load() }

// Note records the era that an answer names in a header, "" for none, and returns it. It returns ErrEraChanged for an answer that
// one of a later era has overtaken.
func (e *Eras) Note(header string) (uint64, error) {
	if header == "" {
		return e.latest.Load(), nil
	}
	era, err := strconv.ParseUint(header, 10, eraBits)
	if err != nil {
		return 0, merry.Errorf("era of the store is not a number of %d bits: %q", eraBits, header)
	}
	return era, e.Raise(era)
}

// Raise records an era that is known otherwise; it returns ErrEraChanged if a later one is known.
func (e *Eras) Raise(era uint64) error {
	for {
		latest := e.latest.Load()
		if era < latest {
			return ErrEraChanged
		}
		if e.latest.CompareAndSwap(latest, era) {
			return nil
		}
	}
}

// CheckCondition returns an error if a write is conditional on a version of another era than the latest, whose revisions it says
// nothing of: a *ConflictError with the object that get returns, or the error of get.
func (e *Eras) CheckCondition(ctx context.Context, version Version, get func(context.Context) (Object, error)) error {
	if version == 0 || version.Era() == e.Latest() {
		return nil
	}
	current, err := get(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{Current: current}
}

// CheckAnswer returns ErrEraChanged if a conditional write was answered in another era than its condition's: the condition may
// have held by chance, for another content.
func CheckAnswer(version Version, era uint64) error {
	if version != 0 && version.Era() != era {
		return ErrEraChanged
	}
	return nil
}

// NameInEra returns the name of an object that only writers of one era use. A writer that does not know of a later era cannot
// overwrite it, whatever revision it has.
func NameInEra(name string, era uint64) string {
	if era == 0 {
		return name
	}
	return name + "@" + strconv.FormatUint(era, 10)
}

// EraOf returns the latest era that a store has named, 0 if it knows no eras.
func EraOf(s Store) uint64 {
	if e, ok := s.(interface{ Era() uint64 }); ok {
		return e.Era()
	}
	return 0
}

// InEra is an object that is named by the era in which it was written.
type InEra struct {
	Object Object
	// WrittenIn is the era of its name, Era that in which it was read.
	WrittenIn uint64
	Era       uint64
}

// IsFormer reports whether the object was written in an earlier era than that in which it was read.
func (o InEra) IsFormer() bool { return o.WrittenIn < o.Era }

// GetInEra reads the object with a name in the store's latest era, or in the latest one before it; the error is ErrNotFound, with
// the era set, if there is none in any era.
func GetInEra(ctx context.Context, s Store, kind, name string) (InEra, error) {
	for {
		era := EraOf(s)
		o, writtenIn, err := getInEraUpTo(ctx, s, kind, name, era)
		// The first answer that a client gets, and one after a restore, names another era than that which was asked for.
		if EraOf(s) == era {
			return InEra{Object: o, WrittenIn: writtenIn, Era: era}, err
		}
	}
}

func getInEraUpTo(ctx context.Context, s Store, kind, name string, era uint64) (Object, uint64, error) {
	for ; ; era-- {
		o, err := s.Get(ctx, kind, NameInEra(name, era))
		if err == nil || era == 0 || !errors.Is(err, ErrNotFound) {
			return o, era, err
		}
	}
}
