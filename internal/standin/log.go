// Package standin provides in-process fakes of the external systems: the
// platform's services, model engines and plain services. Faults are injected by
// method calls. Handlers serve the fakes over the HTTP interfaces that the
// clients of this repository use. All randomness comes from seeds.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Log is an in-process log service.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*logStream
	rand      *rand.Rand
	down      bool
	delay     time.Duration
	lostShare float64
	retention time.Duration
	appends   int
}

type logStream struct {
	oldest  int64
	records []logsvc.Record
	// appended is closed and replaced on each append.
	appended chan struct{}
}

var _ logsvc.Log = (*Log)(nil)

// NewLog returns an empty log service without a retention limit.
func NewLog(seed uint64) *Log {
	return &Log{
		streams: map[string]*logStream{},
		rand:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetDelay delays each call by a duration.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// LoseResponses makes a share of the appends take effect but fail with
// logsvc.ErrOutcomeUnknown.
func (l *Log) LoseResponses(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostShare = share
}

// SetRetention sets the age at which records expire; 0 keeps all.
func (l *Log) SetRetention(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = age
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append implements logsvc.Log.
func (l *Log) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	if err := l.wait(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, logsvc.ErrUnavailable
	}
	s := l.stream(stream)
	offset := s.oldest + int64(len(s.records))
	s.records = append(s.records, logsvc.Record{
		Offset: offset, Time: time.Now(), ID: id, Data: append([]byte(nil), data...),
	})
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.rand.Float64() < l.lostShare {
		return 0, logsvc.ErrOutcomeUnknown
	}
	return offset, nil
}

// Read implements logsvc.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	if err := l.wait(ctx); err != nil {
		return logsvc.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, appended, err := l.read(stream, from, limit)
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return logsvc.Page{}, logsvc.ErrUnavailable
		}
	}
}

func (l *Log) read(stream string, from int64, limit int) (logsvc.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logsvc.Page{}, nil, logsvc.ErrUnavailable
	}
	s := l.stream(stream)
	l.expire(s)
	if from < s.oldest {
		return logsvc.Page{}, nil, &logsvc.TruncatedError{Oldest: s.oldest}
	}
	start := min(int(from-s.oldest), len(s.records))
	end := min(start+limit, len(s.records))
	page := logsvc.Page{
		Records: append([]logsvc.Record(nil), s.records[start:end]...),
		Oldest:  s.oldest,
		Next:    s.oldest + int64(end),
	}
	return page, s.appended, nil
}

func (l *Log) expire(s *logStream) {
	if l.retention == 0 {
		return
	}
	cutoff := time.Now().Add(-l.retention)
	expired := 0
	for expired < len(s.records) && s.records[expired].Time.Before(cutoff) {
		expired++
	}
	s.records = s.records[expired:]
	s.oldest += int64(expired)
}

func (l *Log) wait(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay == 0 {
		return nil
	}
	if !sleep(ctx, delay) {
		return logsvc.ErrUnavailable
	}
	return nil
}

// sleep waits for a duration and reports whether it elapsed before the context
// ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
