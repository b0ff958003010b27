package story_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/story"
)

// logs is a merged log with the host before each line.
const logs = `host-1 {"level":"warn","ts":"2026-05-15T19:23:50.000Z","msg":"dependency lost","dependency":"log: operators","event":916}
host-2 {"level":"warn","ts":"2026-05-15T19:23:50.000Z","msg":"dependency lost","dependency":"log: operators","event":916}
host-1 {"level":"info","ts":"2026-05-15T19:23:20.000Z","msg":"gateway started","host":"host-1","event":910}
not a log line
{"level":"info","msg":"no time","event":900}
host-2 {"level":"info","ts":"2026-05-15T19:23:52.000Z","msg":"view changed","subject":"u-1","what":"upstream drains","event":919}
host-3 {"level":"info","ts":"2026-05-15T19:23:52.100Z","msg":"view changed","subject":"u-1","what":"upstream drains","event":919}
host-1 {"level":"info","ts":"2026-05-15T19:23:52.000Z","msg":"view changed","subject":"u-2","what":"upstream drains","event":919}
host-1 {"level":"warn","ts":"2026-05-15T19:23:54.500Z","msg":"stream aborted","request":"r-1","upstream":"u-1","took":2000,"event":902}
host-1 {"level":"warn","ts":"2026-05-15T19:23:54.000Z","msg":"stream aborted","request":"r-2","upstream":"u-1","took":2000,"event":902}
`

func explain(t *testing.T, requestID string) []string {
	lines, skipped, err := story.Read(strings.NewReader(logs), "file")
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	lines, err = story.Explain(lines, requestID)
	if err != nil {
		require.ErrorIs(t, err, story.ErrNoRequest)
	}
	var out []string
	for _, l := range lines {
		out = append(out, l.Source+" "+l.Message)
	}
	return out
}

func TestExplainSelectsRelatedLines(t *testing.T) {
	require.Equal(t, []string{
		"host-1 dependency lost", "host-2 view changed", "host-1 stream aborted",
	}, explain(t, "r-1"), "the lost dependency of its host and the drain of its upstream, but no lines about other hosts, upstreams, requests or times")
}

func TestExplainUnknownRequest(t *testing.T) { require.Empty(t, explain(t, "r-9")) }
