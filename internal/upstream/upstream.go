// Package upstream classifies the failures of attempts at upstreams, for the
// clients of model engines and of plain services.
package upstream

import (
	"errors"
	"net/http"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
)

// Kind is the kind of a failure: what is certain after a failed attempt.
type Kind int

// Values of Kind.
const (
	// Lost means that the upstream may have run the call in part or in whole.
	Lost Kind = iota
	// NotSent means that no byte was sent to the upstream.
	NotSent
	// Refused means that the upstream responded that it did not run the call.
	Refused
	// Faulted means that the upstream ran the call and responded with an error.
	Faulted
	// Mismatched means that the response belongs to another call.
	Mismatched
	// Invalid means that the upstream rejected the call itself, as any other
	// upstream would.
	Invalid
	// Stalled means that the attempt was abandoned because it took too long;
	// it may have run the call in part or in whole.
	Stalled
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"lost", "not sent", "refused", "faulted", "crossed", "invalid", "stalled"}[k]
}

// Failure is a failed attempt at an upstream.
type Failure struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (f *Failure) Error() string { return "upstream: " + f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns Err.
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

// CertainlyNotRun reports whether it is certain after a failure of this kind that
// the upstream did not run the call.
func CertainlyNotRun(kind Kind) bool {
	return kind == NotSent || kind == Refused || kind == Invalid
}

// KindOf returns the kind of a Failure in err's chain, or Lost if there is none.
func KindOf(err error) Kind {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return Lost
}
