package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func members(count, zones int) []Member {
	list := make([]Member, count)
	for i := range list {
		list[i] = Member{ID: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%zones)}
	}
	return list
}

func TestCellsBalanceAndSpanZones(t *testing.T) {
	const hosts, upstreams, zones = 142, 380, 3
	cells := Cells(Ring(members(hosts, zones)))
	total := 0
	for _, cell := range cells {
		require.GreaterOrEqual(t, len(cell), CellHosts)
		require.LessOrEqual(t, len(cell), CellHosts+1)
		zonesSeen := map[string]bool{}
		for _, m := range cell {
			zonesSeen[m.Zone] = true
		}
		require.Len(t, zonesSeen, zones)
		total += len(cell)
	}
	require.Equal(t, hosts, total)
	perCell := make([]int, len(cells))
	for rank := range upstreams {
		perCell[Cell(len(cells), rank, upstreams)]++
	}
	for _, count := range perCell {
		require.InDelta(t, upstreams/len(cells), count, 1)
	}
}

func TestFewHostsFormOneCell(t *testing.T) {
	require.Len(t, Cells(Ring(members(9, 4))), 1)
	require.Zero(t, Cell(1, 12, 13))
}

func TestLessThanHalfOfHostsChangeCellWhenAHostJoins(t *testing.T) {
	before := Cells(Ring(members(90, 3)))
	after := Cells(Ring(members(91, 3)))
	cellBefore := map[string]int{}
	for i, cell := range before {
		for _, m := range cell {
			cellBefore[m.ID] = i
		}
	}
	moved := 0
	for i, cell := range after {
		for _, m := range cell {
			if at, known := cellBefore[m.ID]; known && at != i {
				moved++
			}
		}
	}
	require.Less(t, moved, 45)
}

func TestCoordinatorsBalanceAndFewMoveWhenAHostLeaves(t *testing.T) {
	cell := members(9, 3)
	var upstreams []string
	for i := range 26 {
		upstreams = append(upstreams, fmt.Sprint("u", i))
	}
	before := Coordinators(upstreams, cell, func(string) bool { return true })
	assigned := map[string]int{}
	for _, upstream := range upstreams {
		assigned[before[upstream]]++
	}
	for _, m := range cell {
		require.LessOrEqual(t, assigned[m.ID], 4)
		after := Coordinators(upstreams, cell, func(id string) bool { return id != m.ID })
		moved := 0
		for _, upstream := range upstreams {
			require.NotEqual(t, m.ID, after[upstream])
			if before[upstream] != m.ID && after[upstream] != before[upstream] {
				moved++
			}
		}
		require.LessOrEqual(t, moved, 4)
	}
	require.Empty(t, Coordinators(upstreams, cell, func(string) bool { return false }))
}
