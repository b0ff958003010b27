// Package stdlog writes the structured log to a stream that may be slow or
// blocked, without blocking the callers of the logger.
package stdlog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines is the number of lines that may wait to be written.
const queueLines = 512

// Limits on repeated lines: in each second, the first sampleFirst lines of each
// event are written and then one in sampleEvery. The number of lines left out
// is a metric.
const (
	sampleFirst = 40
	sampleEvery = 20
)

// Sink queues lines and writes them in the background. It drops lines while the
// queue is full and counts them.
type Sink struct {
	lines chan []byte
	// unwritten is the number of lines that are queued or being written.
	unwritten atomic.Int64
	dropped   atomic.Int64
	sampled   atomic.Int64
}

// NewSink returns a sink that writes to w until the program ends.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines)}
	go func() {
		for line := range s.lines {
			if _, err := w.Write(line); err != nil {
				// There is nowhere to log a failed write, so it is only counted.
				s.dropped.Add(1)
			}
			s.unwritten.Add(-1)
		}
	}()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.unwritten.Add(1)
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.unwritten.Add(-1)
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines lost since the queue was full or a write
// failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Sampled returns the number of lines left out by the limits on repeated lines.
func (s *Sink) Sampled() int64 { return s.sampled.Load() }

// Drain waits until all lines are written, but no longer than the limit.
func (s *Sink) Drain(limit time.Duration) {
	for deadline := time.Now().Add(limit); s.unwritten.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// Logger returns a logger that writes JSON lines from a level on to a sink.
func Logger(s *Sink, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				s.sampled.Add(1)
			}
		})))
}
