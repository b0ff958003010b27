package duty

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// maxPlainProcesses is the largest number of counts by process and window that a
// ledger holds as JSON, which takes some 250 bytes for each with sixteen customers. A
// record of the log may have 256 KB, and all hosts of a large fleet may have started
// again within the open windows.
const maxPlainProcesses = 256

// packedCounts are the counts of many processes. Customers are named once.
type packedCounts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Customers []string
	Processes []packedProcess
}

// packedProcess holds the counts of a process in a window, each after the index of
// its customer.
type packedProcess struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Window      int64
	Incarnation uint64
	Counts      []int64
}

// processes returns the number of counts by process and window.
func (l Ledger) processes() int {
	total := 0
	for _, byIncarnation := range l.OpenCounts {
		total += len(byIncarnation)
	}
	return total
}

// packCounts packs counts by window and incarnation.
func packCounts(open map[int64]map[uint64]Counts) ([]byte, error) {
	var packed packedCounts
	index := map[string]int64{}
	for window, byIncarnation := range open {
		for incarnation, counts := range byIncarnation {
			p := packedProcess{Window: window, Incarnation: incarnation}
			for customer, count := range counts {
				i, known := index[customer]
				if !known {
					i = int64(len(packed.Customers))
					index[customer] = i
					packed.Customers = append(packed.Customers, customer)
				}
				p.Counts = append(p.Counts, i, count)
			}
			packed.Processes = append(packed.Processes, p)
		}
	}
	return marshalPacked(packed)
}

func marshalPacked(packed packedCounts) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&packed); err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	return data.Bytes(), nil
}

// unpackCounts reverses packCounts. Its errors wrap ErrLedger.
func unpackCounts(data []byte) (map[int64]map[uint64]Counts, error) {
	if err := wire.Check(data); err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	var packed packedCounts
	if err := msgpack.Unmarshal(data, &packed); err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	open := map[int64]map[uint64]Counts{}
	for _, p := range packed.Processes {
		counts := Counts{}
		for pair := range slices.Chunk(p.Counts, 2) {
			if len(pair) < 2 || pair[0] < 0 || pair[0] >= int64(len(packed.Customers)) {
				return nil, eris.Wrap(ErrLedger, "packed counts name no customer")
			}
			counts[packed.Customers[pair[0]]] = pair[1]
		}
		if open[p.Window] == nil {
			open[p.Window] = map[uint64]Counts{}
		}
		open[p.Window][p.Incarnation] = counts
	}
	return open, nil
}
