package cli

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

const storyLog = `{"level":"warn","ts":"2026-05-15T19:23:54.5Z","msg":"stream aborted","request":"r-1","upstream":"u-1","took":2000,"event":902}
{"level":"info","ts":"2026-05-15T19:23:53Z","msg":"view changed","subject":"u-1","what":"upstream gone","event":919}
`

func runStory(t *testing.T, in string, args ...string) (subcommands.ExitStatus, string) {
	t.Helper()
	var out strings.Builder
	c := &storyCommand{in: strings.NewReader(in), out: &out}
	flags := flag.NewFlagSet("story", flag.ContinueOnError)
	c.SetFlags(flags)
	require.NoError(t, flags.Parse(args))
	return c.Execute(t.Context(), flags), out.String()
}

func TestStoryFromFilesAndStandardInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host-7.log")
	require.NoError(t, os.WriteFile(file, []byte(storyLog), 0o600))
	status, out := runStory(t, "", "-request", "r-1", file)
	require.Equal(t, subcommands.ExitSuccess, status)
	require.Equal(t, `19:23:53.000 host-7 919 view changed subject="u-1" what="upstream gone"
19:23:54.500 host-7 902 stream aborted request="r-1" took=2000 upstream="u-1"
`, out)
	status, fromInput := runStory(t, storyLog, "-request", "r-1")
	require.Equal(t, subcommands.ExitSuccess, status)
	require.Equal(t, strings.ReplaceAll(out, "host-7", "-"), fromInput)
}

func TestStoryErrors(t *testing.T) {
	status, _ := runStory(t, storyLog)
	require.Equal(t, subcommands.ExitUsageError, status)
	status, _ = runStory(t, storyLog, "-request", "r-2")
	require.Equal(t, subcommands.ExitFailure, status)
	status, _ = runStory(t, "", "-request", "r-1", filepath.Join(t.TempDir(), "none.log"))
	require.Equal(t, subcommands.ExitFailure, status)
}
