// Package event defines the numbered events of the structured log. The number
// of an event never changes its meaning; docs/EVENTS.md lists all events.
package event

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"sort"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log entry.
type Event struct {
	// Number identifies the event for tools that read the log.
	Number int
	Level  zapcore.Level
	// Text is the message of the entry.
	Text string
}

var (
	mu      sync.Mutex
	defined = map[int]*Event{}
)

// Define registers an event. It panics if the number is taken, which is a
// programming error that shows at the start of the program.
func Define(number int, level zapcore.Level, text string) *Event {
	mu.Lock()
	defer mu.Unlock()
	if other, taken := defined[number]; taken {
		panic(fmt.Sprintf("event %d is defined as %q and as %q", number, other.Text, text))
	}
	e := &Event{Number: number, Level: level, Text: text}
	defined[number] = e
	return e
}

// All returns the defined events, ordered by number.
func All() []*Event {
	mu.Lock()
	defer mu.Unlock()
	events := make([]*Event, 0, len(defined))
	for _, e := range defined {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes events.
type Logger struct {
	zap *zap.Logger
}

// NewLogger returns a logger that writes through a zap logger.
func NewLogger(z *zap.Logger) *Logger { return &Logger{zap: z} }

// Discard returns a logger that writes nothing.
func Discard() *Logger { return NewLogger(zap.NewNop()) }

// With returns a logger that adds fields to each entry.
func (l *Logger) With(fields ...zap.Field) *Logger { return NewLogger(l.zap.With(fields...)) }

// Writer returns a writer that writes an entry for each message, for loggers of the
// standard library and others that write text.
func (l *Logger) Writer(e *Event, fields ...zap.Field) io.Writer {
	return messages{logger: l.With(fields...), event: e}
}

// eventLibrary is what a library reports that has no logger of its own.
var eventLibrary = Define(934, zapcore.WarnLevel, "library reports a problem")

// CaptureReports writes what libraries report with the default logger of package log as
// entries. The default is to write them to standard error, and to wait for its reader.
func (l *Logger) CaptureReports() {
	log.SetFlags(0)
	log.SetOutput(l.Writer(eventLibrary))
}

// messages writes an entry for each message.
type messages struct {
	logger *Logger
	event  *Event
}

// Write implements io.Writer.
func (m messages) Write(message []byte) (int, error) {
	m.logger.Emit(m.event, zap.ByteString("message", bytes.TrimSpace(message)))
	return len(message), nil
}

// Err returns the field "error" with the text of an error, without the stack
// trace, which does not help operators. A nil error adds no field.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Emit writes one entry.
func (l *Logger) Emit(e *Event, fields ...zap.Field) {
	if entry := l.zap.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}
