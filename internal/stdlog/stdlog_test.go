package stdlog_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/stdlog"
)

// blockedWriter blocks writes until it is released, like a pipe that nobody
// reads.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestWriteDoesNotBlockOnABlockedStream(t *testing.T) {
	stream := &blockedWriter{release: make(chan struct{})}
	sink := stdlog.NewSink(stream)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			_, _ = sink.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("writes to the sink are blocked")
	}
	require.Positive(t, sink.Dropped())
	close(stream.release)
}

// The last line is being written when the program ends.
func TestDrainWaitsForTheLineThatIsBeingWritten(t *testing.T) {
	stream := &blockedWriter{release: make(chan struct{})}
	sink := stdlog.NewSink(stream)
	_, _ = sink.Write([]byte("last line\n"))
	drained := make(chan struct{})
	go func() {
		sink.Drain(20 * time.Second)
		close(drained)
	}()
	select {
	case <-drained:
		t.Fatal("the line is not written yet")
	case <-time.After(100 * time.Millisecond):
	}
	close(stream.release)
	<-drained
}

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.buf.Bytes(), []byte("\n"))
}

func TestRepeatedLinesAreSampled(t *testing.T) {
	out := &syncBuffer{}
	sink := stdlog.NewSink(out)
	logger := stdlog.Logger(sink, zapcore.InfoLevel)
	for range 400 {
		logger.Info("request answered")
	}
	logger.Warn("stream aborted")
	sink.Drain(20 * time.Second)
	require.Eventually(t, func() bool { return sink.Sampled()+int64(out.lines()) == 401 }, 20*time.Second, time.Millisecond)
	require.Positive(t, sink.Sampled(), "lines left out are counted")
}

// decisionFields returns the fields of the log line of a request.
func decisionFields() []zap.Field {
	return []zap.Field{
		zap.Int("event", 900), zap.String("request", "f373793c9287525f"), zap.Int("status", 200),
		zap.String("route", "r-24w6inp"), zap.String("customer", "sewu240"), zap.String("upstream", "i-5157bc54bb"),
		zap.Int("sends", 1), zap.Int("runs", 1), zap.Duration("took", time.Second), zap.Int64("config", 12),
		zap.Duration("configAge", time.Second),
	}
}

// BenchmarkDecision measures the log line of a request, written or left out by
// sampling.
func BenchmarkDecision(b *testing.B) {
	logger := stdlog.Logger(stdlog.NewSink(io.Discard), zapcore.InfoLevel)
	for b.Loop() {
		logger.Info("request answered", decisionFields()...)
	}
}

// BenchmarkWrittenDecision measures the log line of a request without sampling.
func BenchmarkWrittenDecision(b *testing.B) {
	sink := stdlog.NewSink(io.Discard)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(sink), zapcore.InfoLevel)
	logger := zap.New(core)
	for b.Loop() {
		logger.Info("request answered", decisionFields()...)
	}
}
