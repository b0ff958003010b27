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

// world is one shard with the processes that use it.
type world struct {
	t         *rapid.T
	now       time.Time
	retention time.Duration
	oldest    int
	log       []logsvc.Record
	// delayed holds copies of records that are still to arrive.
	delayed   [][]byte
	processes []*process
	keys      []string
	tickets   map[string]string // by ticket, the incarnation
	runs      map[string]int
	restarts  int
	numbers   uint64
}

// process is one incarnation with its reader and the claims it has not settled.
type process struct {
	incarnation string
	fold        *logfold.Fold[State]
	open        map[string]attempt
	// running holds the results of calls that were dispatched.
	running []Op
}

type attempt struct {
	holder Holder
	offset int64
}

func (w *world) append(op Op) int64 {
	data, err := logfold.EncodeEntry(Batch{Ops: []Op{op}})
	require.NoError(w.t, err)
	if rapid.IntRange(0, 2).Draw(w.t, "copy") == 0 {
		w.delayed = append(w.delayed, data)
	}
	return w.record(data)
}

func (w *world) record(data []byte) int64 {
	w.log = append(w.log, logsvc.Record{Offset: int64(len(w.log)), Time: w.now, Data: data})
	return int64(len(w.log) - 1)
}

func (w *world) expire() {
	for w.oldest < len(w.log) && w.log[w.oldest].Time.Before(w.now.Add(-w.retention)) {
		w.oldest++
	}
}

func (w *world) start() *process {
	w.restarts++
	return &process{
		incarnation: fmt.Sprintf("inc%d", w.restarts), fold: logfold.New(Apply), open: map[string]attempt{},
	}
}

// read folds what is retained, as a shard does.
func (w *world) read(p *process) {
	w.expire()
	p.fold.Truncate(int64(w.oldest))
	if w.oldest == len(w.log) {
		return
	}
	for _, rec := range w.log[w.oldest:] {
		p.fold.ApplyRecord(rec)
	}
	if !p.fold.Complete() {
		p.fold.SetState(State{Since: w.log[w.oldest].Time}, int64(w.oldest))
	}
}

func (w *world) claim(p *process) {
	key := rapid.SampledFrom(w.keys).Draw(w.t, "key")
	if _, open := p.open[key]; open {
		return
	}
	w.numbers++
	holder := Holder{Host: "h", Incarnation: p.incarnation, Number: w.numbers}
	p.open[key] = attempt{holder, w.append(Op{Acquire: &AcquireOp{Key: key, Holder: holder}})}
}

// settle decides on a claim as a Store does.
func (w *world) settle(p *process) {
	w.read(p)
	for _, key := range w.keys {
		a, open := p.open[key]
		if !open || !p.fold.Complete() || p.fold.Next() <= a.offset {
			continue
		}
		delete(p.open, key)
		state := p.fold.State()
		e := state.Entries[key]
		if e == nil || e.Holder != a.holder || !covers(state, key) || rapid.Bool().Draw(w.t, "release") {
			w.append(Op{Release: &ReleaseOp{Key: key, Holder: a.holder}})
			continue
		}
		w.runs[key]++
		p.running = append(p.running, Op{Result: &ResultOp{Key: key, Holder: a.holder, Result: answered}})
	}
}

var answered = request.Result{Outcome: request.Answer}

// finish records the results of the calls that run.
func (w *world) finish(p *process) {
	for _, op := range p.running {
		w.append(op)
	}
	p.running = nil
}

func (w *world) runTicket(p *process) {
	text := fmt.Sprintf("mt1.h.%s.%d.%d.mac", p.incarnation, w.now.Add(ticket.Lifetime).UnixMilli(), len(w.tickets))
	w.tickets[text] = p.incarnation
	if rapid.Bool().Draw(w.t, "dispatch") {
		w.runs[text]++
		p.running = append(p.running, Op{Result: &ResultOp{
			Key: text, Holder: Holder{Incarnation: p.incarnation}, Ticket: true, Result: answered,
		}})
	}
}

func (w *world) step() {
	at := rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")
	p := w.processes[at]
	switch rapid.IntRange(0, 10).Draw(w.t, "step") {
	case 10:
		w.finish(p)
	case 0, 1, 2:
		w.claim(p)
	case 3, 4:
		w.settle(p)
	case 5:
		w.runTicket(p)
	case 6:
		if len(w.delayed) > 0 {
			w.record(rapid.SampledFrom(w.delayed).Draw(w.t, "copy of"))
		}
	case 7:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(w.t, "minutes")) * time.Minute)
		w.keys = append(w.keys, fmt.Sprintf("%d.%d", w.now.Unix(), len(w.keys)))
	case 8:
		if p.fold.Complete() && p.fold.Next() > 0 {
			data, err := p.fold.Checkpoint()
			require.NoError(w.t, err)
			w.record(data)
		}
	default:
		if rapid.Bool().Draw(w.t, "planned") {
			w.finish(p)
			w.append(Op{Retire: &RetireOp{Incarnation: p.incarnation}})
		}
		w.processes[at] = w.start()
	}
}

// check compares what a reader of now would tell of each ticket with the runs.
func (w *world) check() {
	p := w.start()
	w.read(p)
	if !p.fold.Complete() {
		return
	}
	state := p.fold.State()
	for key, e := range state.Entries {
		if _, retired := state.Retired[e.Holder.Incarnation]; retired && e.Result == nil {
			w.t.Fatalf("%s is held by a process that has ended", key)
		}
	}
	for text, incarnation := range w.tickets {
		e := state.Entries[text]
		_, retired := state.Retired[incarnation]
		if (e == nil || e.Result == nil) && retired && ticketOf(text, incarnation, w.now) && covers(state, text) {
			require.Zero(w.t, w.runs[text], "a ticket that ran is said not to have run")
		}
	}
	for key, n := range w.runs {
		require.LessOrEqual(w.t, n, 1, "%s ran twice", key)
	}
}

// TestAtMostOneProcessDispatches races claims, releases, copies, late readers,
// checkpoints, restarts and the loss of old records.
func TestAtMostOneProcessDispatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: time.Unix(1764806400, 0), keys: []string{"1764806400.0"},
			retention: time.Duration(rapid.IntRange(10, 200).Draw(t, "retention")) * time.Minute,
			tickets:   map[string]string{}, runs: map[string]int{},
		}
		for range 3 {
			w.processes = append(w.processes, w.start())
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			w.step()
			if rapid.IntRange(0, 9).Draw(t, "check") == 0 {
				w.check()
			}
		}
		w.check()
	})
}

// TestCopiesChangeNothing folds each record again at any later place.
func TestCopiesChangeNothing(t *testing.T) {
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
		once, copied := logfold.New(Apply), logfold.New(Apply)
		offset := int64(0)
		take := func(fold *logfold.Fold[State], op Op) {
			data, err := logfold.EncodeEntry(Batch{Ops: []Op{op}})
			require.NoError(t, err)
			fold.ApplyRecord(logsvc.Record{Offset: offset, Time: at, Data: data})
			offset++
		}
		for i, op := range ops {
			take(once, op)
			take(copied, op)
			take(copied, ops[rapid.IntRange(0, i).Draw(t, "again")])
			require.Equal(t, once.State(), copied.State())
		}
	})
}

func TestKeysTellTheirAge(t *testing.T) {
	at := time.Unix(1764806400, 0)
	uuid := fmt.Sprintf("%08x-%04x-7abc-8def-0123456789ab", at.UnixMilli()>>16, at.UnixMilli()&0xffff)
	require.NoError(t, CheckAge(uuid, at.Add(Window)))
	require.NoError(t, CheckAge(Scoped(uuid, "web-chat"), at))
	require.ErrorIs(t, CheckAge(uuid, at.Add(Window+time.Second)), ErrKeyAge)
	require.ErrorIs(t, CheckAge("1764806400.k", at.Add(-Skew-time.Second)), ErrKeyAge)
	require.NoError(t, CheckAge("tasting-for-ana", at))
}
