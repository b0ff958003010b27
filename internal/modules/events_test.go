package modules_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/event"

	// Packages that define events: both kinds of hosts and all modules.
	_ "github.com/marigoldmux/marigoldmux/internal/gateway"
	_ "github.com/marigoldmux/marigoldmux/internal/host"
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
)

var eventRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.+?) \| .+ \|$`)

type eventEntry struct {
	number      int
	level, text string
}

func TestEventsPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	var listed, defined []eventEntry
	for _, row := range eventRow.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(row[1])
		require.NoError(t, err)
		listed = append(listed, eventEntry{number, row[2], row[3]})
	}
	for _, e := range event.All() {
		defined = append(defined, eventEntry{e.Number, e.Level.String(), e.Text})
	}
	require.Equal(t, defined, listed, "docs/EVENTS.md must list the events by number")
}
