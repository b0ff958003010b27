package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// simulation is one shard and the processes that use it.
type simulation struct {
	t         *rapid.T
	now       time.Time
	retention time.Duration
	oldest    int
	log       []logsvc.Record
	// delayed holds copies of records that may still arrive.
	delayed   [][]byte
	processes []*process
	keys      []string
	tickets   map[string]string // by ticket, the incarnation
	runs      map[string]int
	restarts  int
	numbers   uint64
}

// process is one incarnation with its reader and its undecided claims.
type process struct {
	incarnation string
	fold        *logfold.Fold[State]
	open        map[string]pendingClaim
	// running holds the results, not yet appended, of calls that were dispatched.
	running []Op
}

type pendingClaim struct {
	holder Holder
	offset int64
}

func (s *simulation) append(op Op) int64 {
	data, err := logfold.EncodeEntry(Batch{Ops: []Op{op}})
	require.NoError(s.t, err)
	if rapid.IntRange(0, 2).Draw(s.t, "copy") == 0 {
		s.delayed = append(s.delayed, data)
	}
	return s.record(data)
}

func (s *simulation) record(data []byte) int64 {
	s.log = append(s.log, logsvc.Record{Offset: int64(len(s.log)), Time: s.now, Data: data})
	return int64(len(s.log) - 1)
}

func (s *simulation) expire() {
	for s.oldest < len(s.log) && s.log[s.oldest].Time.Before(s.now.Add(-s.retention)) {
		s.oldest++
	}
}

func (s *simulation) start() *process {
	s.restarts++
	return &process{
		incarnation: fmt.Sprintf("inc%d", s.restarts), fold: logfold.New(Apply), open: map[string]pendingClaim{},
	}
}

// read folds the retained records, as a shard does.
func (s *simulation) read(p *process) {
	s.expire()
	p.fold.Truncate(int64(s.oldest))
	if s.oldest == len(s.log) {
		return
	}
	for _, rec := range s.log[s.oldest:] {
		p.fold.ApplyRecord(rec)
	}
	if !p.fold.Complete() {
		p.fold.SetState(State{Since: s.log[s.oldest].Time}, int64(s.oldest))
	}
}

func (s *simulation) claim(p *process) {
	key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
	if _, open := p.open[key]; open {
		return
	}
	s.numbers++
	holder := Holder{Host: "h", Incarnation: p.incarnation, Number: s.numbers}
	p.open[key] = pendingClaim{holder, s.append(Op{Acquire: &AcquireOp{Key: key, Holder: holder}})}
}

// settle decides on a claim as a Store does.
func (s *simulation) settle(p *process) {
	s.read(p)
	for _, key := range s.keys {
		a, open := p.open[key]
		if !open || !p.fold.Complete() || p.fold.Next() <= a.offset {
			continue
		}
		delete(p.open, key)
		state := p.fold.State()
		e := state.Entries[key]
		if e == nil || e.Holder != a.holder || !covers(state, key) || rapid.Bool().Draw(s.t, "release") {
			s.append(Op{Release: &ReleaseOp{Key: key, Holder: a.holder}})
			continue
		}
		s.runs[key]++
		p.running = append(p.running, Op{Result: &ResultOp{Key: key, Holder: a.holder, Result: answerResult}})
	}
}

var answerResult = request.Result{Outcome: request.Answer}

// finish appends the results of the running calls.
func (s *simulation) finish(p *process) {
	for _, op := range p.running {
		s.append(op)
	}
	p.running = nil
}

func (s *simulation) runTicket(p *process) {
	text := fmt.Sprintf("mt1.h.%s.%d.%d.mac", p.incarnation, s.now.Add(ticket.Lifetime).UnixMilli(), len(s.tickets))
	s.tickets[text] = p.incarnation
	if rapid.Bool().Draw(s.t, "dispatch") {
		s.runs[text]++
		p.running = append(p.running, Op{Result: &ResultOp{
			Key: text, Holder: Holder{Incarnation: p.incarnation}, Ticket: true, Result: answerResult,
		}})
	}
}

func (s *simulation) step() {
	at := rapid.IntRange(0, len(s.processes)-1).Draw(s.t, "process")
	p := s.processes[at]
	switch rapid.IntRange(0, 10).Draw(s.t, "step") {
	case 10:
		s.finish(p)
	case 0, 1, 2:
		s.claim(p)
	case 3, 4:
		s.settle(p)
	case 5:
		s.runTicket(p)
	case 6:
		if len(s.delayed) > 0 {
			s.record(rapid.SampledFrom(s.delayed).Draw(s.t, "copy of"))
		}
	case 7:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(s.t, "minutes")) * time.Minute)
		s.keys = append(s.keys, fmt.Sprintf("%d.%d", s.now.Unix(), len(s.keys)))
	case 8:
		if p.fold.Complete() && p.fold.Next() > 0 {
			data, err := p.fold.Checkpoint()
			require.NoError(s.t, err)
			s.record(data)
		}
	default:
		if rapid.Bool().Draw(s.t, "planned") {
			s.finish(p)
			s.append(Op{Retire: &RetireOp{Incarnation: p.incarnation}})
		}
		s.processes[at] = s.start()
	}
}

// check compares the state that a new reader folds with the actual runs.
func (s *simulation) check() {
	p := s.start()
	s.read(p)
	if !p.fold.Complete() {
		return
	}
	state := p.fold.State()
	for key, e := range state.Entries {
		if _, retired := state.Retired[e.Holder.Incarnation]; retired && e.Result == nil {
			s.t.Fatalf("%s is held by a retired process", key)
		}
	}
	for text, incarnation := range s.tickets {
		e := state.Entries[text]
		_, retired := state.Retired[incarnation]
		if (e == nil || e.Result == nil) && retired && recentTicketOf(text, incarnation, s.now) && covers(state, text) {
			require.Zero(s.t, s.runs[text], "a ticket that ran is reported as not run")
		}
	}
	for key, n := range s.runs {
		require.LessOrEqual(s.t, n, 1, "%s ran twice", key)
	}
}

// TestAtMostOneProcessDispatches interleaves claims, releases, duplicate records,
// late readers, checkpoints, restarts and the expiry of old records, and checks
// that no key runs twice.
func TestAtMostOneProcessDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, now: time.Unix(1764806400, 0), keys: []string{"1764806400.0"},
			retention: time.Duration(rapid.IntRange(10, 200).Draw(t, "retention")) * time.Minute,
			tickets:   map[string]string{}, runs: map[string]int{},
		}
		for range 3 {
			s.processes = append(s.processes, s.start())
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			s.step()
			if rapid.IntRange(0, 9).Draw(t, "check") == 0 {
				s.check()
			}
		}
		s.check()
	})
}

// TestApplyIsIdempotent applies copies of earlier records again at any later
// position.
func TestApplyIsIdempotent(t *testing.T) {
	at := time.Unix(1764806400, 0)
	holder := Holder{Host: "h", Incarnation: "a", Number: 1}
	other := Holder{Host: "g", Incarnation: "b", Number: 2}
	key := "1764806400.k"
	ops := []Op{
		{Acquire: &AcquireOp{Key: key, Holder: holder}},
		{Release: &ReleaseOp{Key: key, Holder: holder}},
		{Acquire: &AcquireOp{Key: key, Holder: other}},
		{Result: &ResultOp{Key: key, Holder: other, Result: request.Result{Outcome: request.Answer}}},
		{Retire: &RetireOp{Incarnation: "a"}},
	}
	rapid.Check(t, func(t *rapid.T) {
		single, duplicated := logfold.New(Apply), logfold.New(Apply)
		offset := int64(0)
		take := func(fold *logfold.Fold[State], op Op) {
			data, err := logfold.EncodeEntry(Batch{Ops: []Op{op}})
			require.NoError(t, err)
			fold.ApplyRecord(logsvc.Record{Offset: offset, Time: at, Data: data})
			offset++
		}
		for i, op := range ops {
			take(single, op)
			take(duplicated, op)
			take(duplicated, ops[rapid.IntRange(0, i).Draw(t, "again")])
			require.Equal(t, single.State(), duplicated.State())
		}
	})
}

func TestCheckAge(t *testing.T) {
	at := time.Unix(1764806400, 0)
	uuid := fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", at.UnixMilli()>>16, at.UnixMilli()&0xffff)
	require.NoError(t, CheckAge(uuid, at.Add(MaxKeyAge)))
	require.NoError(t, CheckAge(Scoped(uuid, "web-chat"), at))
	require.ErrorIs(t, CheckAge(uuid, at.Add(MaxKeyAge+time.Second)), ErrKeyAge)
	require.ErrorIs(t, CheckAge("1764806400.k", at.Add(-MaxClockSkew-time.Second)), ErrKeyAge)
	require.NoError(t, CheckAge("tasting-for-ana", at))
}
