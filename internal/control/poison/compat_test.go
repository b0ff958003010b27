package poison_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/poison"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

func TestReadsFormerData(t *testing.T) {
	want := poison.Hold{Fingerprint: 1<<63 + 1, Until: testcompat.Start.Add(5*time.Minute + time.Millisecond)}
	data := testcompat.Read(t, "hold.json")
	again, err := json.Marshal(want)
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	var machine poison.Machine
	machine.Init(control.Self{ID: "entry-0"})
	machine.Step(testcompat.Start, control.Record{Stream: "holds", Record: logsvc.Record{Data: data}})
	var snapshot control.Snapshot
	machine.Publish(testcompat.Start, &snapshot)
	require.Equal(t, map[uint64]time.Time{want.Fingerprint: want.Until}, snapshot.Holds)
}
