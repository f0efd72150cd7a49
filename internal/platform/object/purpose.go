package object

import "context"

// Purpose is what a call of the store is for.
type Purpose string

// The purposes of calls.
const (
	// PurposeStart is what a node that starts reads, writes and watches until it knows its role.
	PurposeStart Purpose = "start"
	// PurposeStop is the removal of what a node that stops has written.
	PurposeStop Purpose = "stop"
	// PurposeWatch is the first call of a watch, and each that follows changes; PurposeRenewal is one that follows a wait without
	// changes.
	PurposeWatch   Purpose = "watch"
	PurposeRenewal Purpose = "renewal"
	// PurposeRetry is a call after one that failed.
	PurposeRetry Purpose = "retry"
	// PurposeTakeOver is a read by a node whose relay is lost.
	PurposeTakeOver Purpose = "take-over"
	// PurposeRestore is a call after the store lost its history, or came back from an older copy.
	PurposeRestore Purpose = "restore"
	// PurposeReport is a write of what a node knows of crashes.
	PurposeReport Purpose = "report"
	// PurposeOther is the purpose of calls that name none.
	PurposeOther Purpose = "other"
)

type purposeKey struct{}

// WithPurpose returns a context for calls of a purpose.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return WithPurposeFunc(ctx, func() Purpose { return p })
}

// WithPurposeFunc returns a context for calls whose purpose may change while a watch goes on.
func WithPurposeFunc(ctx context.Context, purpose func() Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// PurposeOf returns the purpose that a context names now.
func PurposeOf(ctx context.Context) Purpose {
	if purpose, ok := ctx.Value(purposeKey{}).(func() Purpose); ok {
		return purpose()
	}
	return PurposeOther
}
