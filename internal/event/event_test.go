package event_test

import (
	"log"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/marigoldmux/marigoldmux/internal/event"
)

func TestMessagesOfTextLoggersBecomeEntries(t *testing.T) {
	core, entries := observer.New(zapcore.InfoLevel)
	e := &event.Event{Number: 1, Level: zapcore.WarnLevel, Text: "a server reports an error"}
	text := log.New(event.NewLogger(zap.New(core)).Writer(e, zap.String("server", "callers")), "", 0)
	text.Printf("accept: %s", "no descriptor")
	require.Len(t, entries.All(), 1)
	require.Equal(t, "a server reports an error", entries.All()[0].Message)
	require.Equal(t, map[string]any{"event": int64(1), "server": "callers", "message": "accept: no descriptor"}, entries.All()[0].ContextMap())
}
