// Package explain defines the question where a gateway host would send a request now, and
// the answer. It does no I/O.
package explain

import (
	"errors"
	"fmt"
	"time"
)

// Path is the path at which a host's metrics port takes a Query and returns an Answer, both
// as JSON.
const Path = "/explain"

// Bounds of a query.
const (
	// MaxBytes is the size of an encoded query.
	MaxBytes = 64 << 10
	// maxParts is the number of parts of a prompt, and maxTokens that of tokens of one part
	// or of the output.
	maxParts  = 256
	maxTokens = 1 << 30
	// maxDeadline bounds the caller's deadline.
	maxDeadline = 24 * time.Hour
)

// The errors of queries.
var (
	// ErrInvalid is the root of errors of malformed queries.
	ErrInvalid = errors.New("invalid query")
	// ErrUnknown is the root of errors of queries about a route, customer or host name that
	// the configuration does not have.
	ErrUnknown = errors.New("not in the configuration")
	// ErrNoConfiguration is returned by a host that has read no configuration yet.
	ErrNoConfiguration = errors.New("the host has no configuration yet")
)

// Part is one part of a prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Query describes a request.
type Query struct {
	// Route is the name of a route. Without it, Host and Path find the route.
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Customer is the name of the customer. Without it, no quota is checked.
	Customer string `json:"customer,omitempty"`
	// Model is the model that the prompt is for; cached parts are those of one model.
	Model string `json:"model,omitempty"`
	// Parts are the parts of the prompt, in order, and OutputTokens the longest output.
	// A request without both is one to a plain service.
	Parts        []Part `json:"parts,omitempty"`
	OutputTokens int    `json:"outputTokens,omitempty"`
	// DeadlineMs is how long the caller waits; 0 if not stated.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// Check returns an error if the query is malformed.
func (q *Query) Check() error {
	switch {
	case q.Route == "" && q.Host == "":
		return fmt.Errorf("%w: a route or a host name must be given", ErrInvalid)
	case q.Route != "" && (q.Host != "" || q.Path != ""):
		return fmt.Errorf("%w: either a route or a host name and path must be given", ErrInvalid)
	case len(q.Parts) > maxParts:
		return fmt.Errorf("%w: more than %d parts", ErrInvalid, maxParts)
	case q.OutputTokens < 0 || q.OutputTokens > maxTokens:
		return fmt.Errorf("%w: the output must have 0 to %d tokens", ErrInvalid, maxTokens)
	case q.DeadlineMs < 0 || q.DeadlineMs > maxDeadline.Milliseconds():
		return fmt.Errorf("%w: the deadline must be within %v", ErrInvalid, maxDeadline)
	}
	for _, part := range q.Parts {
		if part.ID == "" || part.Tokens < 0 || part.Tokens > maxTokens {
			return fmt.Errorf("%w: part %q must have an ID and 0 to %d tokens", ErrInvalid, part.ID, maxTokens)
		}
	}
	return nil
}

// Answer says where a host would send a request, and why.
type Answer struct {
	// Gateway is the name of the host, and Zone its availability zone.
	Gateway string `json:"gateway"`
	Zone    string `json:"zone"`
	Route   string `json:"route"`
	// ConfigVersion is the version of the configuration, and ConfigAgeMs the age of the
	// host's view of it.
	ConfigVersion int64   `json:"configVersion"`
	ConfigAgeMs   float64 `json:"configAgeMs"`
	// DeadlineMs is the time that the request would have.
	DeadlineMs float64 `json:"deadlineMs"`
	// Quota is nil if no quota applies.
	Quota *Quota `json:"quota,omitempty"`
	// Note says why no quota was checked, if one may apply.
	Note string `json:"note,omitempty"`
	// Refusal is the reason for which the host would refuse the request before it chooses an
	// upstream, "" if it would not.
	Refusal string `json:"refusal,omitempty"`
	// Cases are what the host would do, by what it draws at random before the choice.
	Cases []Case `json:"cases"`
}

// Quota says whether a customer's quota would allow the request.
type Quota struct {
	Customer string `json:"customer"`
	// Allowed is set if the quota would allow the request, and Chance the probability that
	// it does: below 1 where admission near the limit is graduated.
	Allowed bool    `json:"allowed"`
	Chance  float64 `json:"chance"`
	// Amount is what the request would take, in tokens or requests.
	Amount   float64 `json:"amount"`
	InTokens bool    `json:"inTokens"`
	// Rate is the quota a second; 0 means that there is none.
	Rate float64 `json:"rate"`
	// RetryAfterMs is the time after which the caller may retry if the request is refused.
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
}

// Case is what the host would do with the request if it draws a backend of the route and a
// side of a rollout.
type Case struct {
	Service string `json:"service"`
	// Share is the probability of the case.
	Share float64 `json:"share"`
	// RolloutTarget is the target version of a rollout of the service, "" if there is none.
	RolloutTarget string `json:"rolloutTarget,omitempty"`
	// ByExpectedWait is set if upstreams are chosen by the expected wait.
	ByExpectedWait bool `json:"byExpectedWait"`
	// PromptKind is "short" for a prompt whose engine is chosen by load, "long" for one that
	// goes to engines for long prompts, else "medium"; "" if the choice is not by expected
	// wait.
	PromptKind string `json:"promptKind,omitempty"`
	// PrefillRate is the number of prompt tokens that an engine is expected to process per
	// millisecond, 0 for a plain service.
	PrefillRate float64 `json:"prefillRate,omitempty"`
	// Refusal is the reason for which the host would refuse the request, "" if it would
	// not, and RetryAfterMs the time after which an engine could begin within the route's
	// target, if none can before the deadline.
	Refusal      string  `json:"refusal,omitempty"`
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// Choices are the upstreams that may be chosen, the most probable one first.
	Choices []Choice `json:"choices"`
	// Upstreams are all upstreams of the service: first those that may be chosen or could
	// have been, by cost, and then those that are ruled out.
	Upstreams []Upstream `json:"upstreams"`
}

// Choice is an upstream that may be chosen, with its probability within a case.
type Choice struct {
	ID    string  `json:"id"`
	Share float64 `json:"share"`
}

// Upstream is an upstream with what its choice depends on.
type Upstream struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	// RuledOut says why the upstream is not chosen at all, "" if it may be.
	RuledOut string `json:"ruledOut,omitempty"`
	// PausedForMs is the time left of a pause.
	PausedForMs float64 `json:"pausedForMs,omitempty"`
	// State is nil if the upstream is ruled out before its cost is considered.
	*State
}

// State is what the choice of an upstream depends on.
type State struct {
	// Requests and Tokens are the requests in flight from all hosts, and the prompt tokens
	// of those without a first event yet.
	Requests int `json:"requests"`
	Tokens   int `json:"tokens"`
	Slots    int `json:"slots"`
	// HeldTokens is the number of tokens of the prompt that an engine probably has cached.
	HeldTokens int `json:"heldTokens,omitempty"`
	// Slowdown is how long work takes at an engine as a multiple of the fastest one's time,
	// and MomentarySlowdown that at this moment; 0 if it is not known.
	Slowdown          float64 `json:"slowdown,omitempty"`
	MomentarySlowdown float64 `json:"momentarySlowdown,omitempty"`
	// ForLongPrompts is set for engines to which long prompts go.
	ForLongPrompts bool `json:"forLongPrompts,omitempty"`
	// FailureRate is the fraction of recent responses that were failures.
	FailureRate float64 `json:"failureRate,omitempty"`
	Suspect     bool    `json:"suspect,omitempty"`
	Cold        bool    `json:"cold,omitempty"`
	// CostMs is the whole cost, and Costs are its parts.
	CostMs float64 `json:"costMs"`
	Costs  Costs   `json:"costs"`
}

// Costs are the parts of a cost in milliseconds.
type Costs struct {
	// ExpectedWaitMs is the time to process the prompts of other requests, and
	// ExpectedReadMs that to process what the engine does not hold of this one. For a short
	// prompt, the choice counts neither the latter nor how slow an engine is.
	ExpectedWaitMs float64 `json:"expectedWaitMs"`
	ExpectedReadMs float64 `json:"expectedReadMs"`
	// RereadMs is the weighted cost of shared parts that are not held, and MissMs that of a
	// prefix that is not expected to be cached where the choice is by load.
	RereadMs float64 `json:"rereadMs"`
	MissMs   float64 `json:"missMs"`
	// MisplacedMs is the cost of a long prompt at an engine for others, and of others at an
	// engine for long prompts.
	MisplacedMs float64 `json:"misplacedMs"`
	OutputMs    float64 `json:"outputMs"`
	// RequestsMs is the cost of running requests, and QueueMs that of those beyond the
	// slots.
	RequestsMs float64 `json:"requestsMs"`
	QueueMs    float64 `json:"queueMs"`
	LatencyMs  float64 `json:"latencyMs"`
	FailuresMs float64 `json:"failuresMs"`
	ZoneMs     float64 `json:"zoneMs"`
}

// Ms returns a duration in milliseconds, in steps of a microsecond.
func Ms(d time.Duration) float64 { return float64(d.Round(time.Microsecond).Microseconds()) / 1000 }
