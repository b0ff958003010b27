// Package upstream holds what the clients of model engines and of plain
// services share: the kinds of failure of one attempt.
package upstream

import (
	"errors"
	"net/http"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// Kind says what a failed attempt leaves certain.
type Kind int

// The kinds of failure.
const (
	// Lost means that the upstream may have run the call in part or in whole.
	Lost Kind = iota
	// NotSent means that no byte left for the upstream.
	NotSent
	// Refused means that the upstream said it did not run the call.
	Refused
	// Faulted means that the upstream ran the call and answered with an error.
	Faulted
	// Mismatched means that the answer belongs to another call.
	Mismatched
	// Invalid means that the upstream rejects the call itself; another
	// upstream would too.
	Invalid
	// Stalled means that the upstream was given up because it took too long;
	// it may have run the call in part or in whole.
	Stalled
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"lost", "not sent", "refused", "faulted", "crossed", "invalid", "stalled"}[k]
}

// Failure is a failed attempt at an upstream.
type Failure struct {
	Kind Kind
	Err  error
}

// Error names the kind and the cause.
func (f *Failure) Error() string { return "upstream: " + f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Classify turns an error of package httpjson into a Failure.
func Classify(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	kind := Lost
	switch status := httpjson.Status(err); {
	case httpjson.NeverSent(err):
		kind = NotSent
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		kind = Refused
	case status >= http.StatusInternalServerError:
		kind = Faulted
	case status >= http.StatusBadRequest:
		kind = Invalid
	}
	return &Failure{Kind: kind, Err: err}
}

// CertainlyNotRun reports whether a failure leaves it certain that the upstream
// did not run the call.
func CertainlyNotRun(kind Kind) bool {
	return kind == NotSent || kind == Refused || kind == Invalid
}

// KindOf returns the kind of a failure, and Lost for any other error.
func KindOf(err error) Kind {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return Lost
}
