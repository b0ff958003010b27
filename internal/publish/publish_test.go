package publish_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/publish"
)

const (
	base = 7
	text = `{"a": 1}`
)

// scriptedLog returns errs from successive appends, and the last one from further
// appends.
type scriptedLog struct {
	logsvc.Log
	errs    []error
	appends int
	ids     map[string]bool
	// taken, if not nil, is called with the ID of each append.
	taken func(id string)
}

func (l *scriptedLog) Append(_ context.Context, _, id string, data []byte) (int64, error) {
	if !json.Valid(data) {
		return 0, logsvc.ErrUnavailable
	}
	err := l.errs[min(l.appends, len(l.errs)-1)]
	l.appends++
	l.ids[id] = true
	if l.taken != nil {
		l.taken(id)
	}
	return base + 1, err
}

// TestOutcomes checks the status for each combination of results of appends and
// outcome read back. The status must be Unknown
// if the entry may have been stored but was not read back.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		base     int64
		errs     []error
		readBack control.PutVerdict
		want     publish.Status
		appends  int
	}{
		{"taken and read back", base, []error{nil}, control.PutAccepted, publish.Accepted, 1},
		{"answer lost, read back", base, []error{logsvc.ErrOutcomeUnknown}, control.PutAccepted, publish.Accepted, 1},
		{"another came first", base, []error{nil}, control.PutStale, publish.LostRace, 1},
		{"base already replaced", base - 1, []error{nil}, "", publish.LostRace, 0},
		{"log down", base, []error{logsvc.ErrUnavailable}, "", publish.NotAccepted, 1},
		{"answer lost, never read back", base, []error{logsvc.ErrOutcomeUnknown}, "", publish.Unknown, 3},
		{"answer lost, then log down", base, []error{logsvc.ErrOutcomeUnknown, logsvc.ErrUnavailable}, "", publish.Unknown, 3},
		{"taken, never read back", base, []error{nil}, "", publish.Unknown, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var snapshot atomic.Pointer[control.Snapshot]
				snapshot.Store(&control.Snapshot{Offset: base, Text: text})
				log := &scriptedLog{errs: c.errs, ids: map[string]bool{}}
				if c.readBack != "" {
					log.taken = func(id string) {
						time.AfterFunc(time.Second, func() {
							outcome := control.PutOutcome{ID: id, Offset: base + 1, Verdict: c.readBack}
							snapshot.Store(&control.Snapshot{Offset: base + 1, Text: text, Puts: []control.PutOutcome{outcome}})
						})
					}
				}
				p := publish.Publisher{Log: log, Snapshot: snapshot.Load}
				result := p.Put(context.Background(), c.base, "ana", `{"a": 2}`)
				require.Equal(t, c.want, result.Status)
				require.Equal(t, c.appends, log.appends)
				require.LessOrEqual(t, len(log.ids), 1, "a repeat must keep its ID")
				require.Equal(t, c.want == publish.Accepted, result.Offset == base+1)
			})
		})
	}
}
