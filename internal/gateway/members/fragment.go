package members

import (
	"encoding/binary"
	"net/netip"
)

// Sizes of what hosts send to each other.
const (
	// MaxDatagramBytes bounds a datagram.
	MaxDatagramBytes = 32 << 10
	// MaxMessageBytes bounds a digest or summary. One that does not fit into a datagram is
	// sent in fragments, as with a thousand customers.
	MaxMessageBytes = maxFragments * maxFragmentBytes
	maxFragments    = 8
	// maxFragmentBytes is the size of a fragment without its header.
	maxFragmentBytes = MaxDatagramBytes - fragmentHeaderBytes
	// fragmentHeaderBytes is the size of the header: fragmentMark, the ID of the message, the
	// index of the fragment and the number of fragments.
	fragmentHeaderBytes = 1 + 8 + 1 + 1
	// fragmentMark begins a fragment. No message in msgpack begins with it.
	fragmentMark = 0xc1
	// maxPartialMessages bounds the messages of which some fragments are kept.
	maxPartialMessages = 256
)

// Split returns the datagrams for an encoded message of at most MaxMessageBytes. The ID differs
// from those of other messages of this host.
func Split(message []byte, id uint64) [][]byte {
	if len(message) <= MaxDatagramBytes {
		return [][]byte{message}
	}
	count := (len(message) + maxFragmentBytes - 1) / maxFragmentBytes
	datagrams := make([][]byte, 0, count)
	for i := range count {
		part := message[i*maxFragmentBytes : min((i+1)*maxFragmentBytes, len(message))]
		datagram := make([]byte, 0, fragmentHeaderBytes+len(part))
		datagram = append(datagram, fragmentMark)
		datagram = binary.BigEndian.AppendUint64(datagram, id)
		datagram = append(datagram, byte(i), byte(count))
		datagrams = append(datagrams, append(datagram, part...))
	}
	return datagrams
}

// Assembler joins the fragments of messages. It keeps one message of a sender: a digest whose
// fragment was lost is replaced by the next one.
type Assembler struct {
	bySender map[netip.AddrPort]*partialMessage
	// received counts the fragments.
	received uint64
}

// partialMessage is a message of which some fragments have been received.
type partialMessage struct {
	id    uint64
	parts [][]byte
	// missing is the number of fragments that are not received yet.
	missing int
	// receivedAt is the number of the latest fragment among those of all messages.
	receivedAt uint64
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler { return &Assembler{bySender: map[netip.AddrPort]*partialMessage{}} }

// Add returns the message that a datagram holds or completes, or nil. The datagram may be
// overwritten afterwards, unless it is returned.
func (a *Assembler) Add(from netip.AddrPort, datagram []byte) []byte {
	if len(datagram) == 0 || datagram[0] != fragmentMark {
		return datagram
	}
	if len(datagram) <= fragmentHeaderBytes {
		return nil
	}
	id := binary.BigEndian.Uint64(datagram[1:])
	index, count := int(datagram[9]), int(datagram[10])
	if index >= count || count > maxFragments {
		return nil
	}
	a.received++
	m := a.bySender[from]
	if m == nil || m.id != id || len(m.parts) != count {
		a.makeRoom()
		m = &partialMessage{id: id, parts: make([][]byte, count), missing: count}
		a.bySender[from] = m
	}
	m.receivedAt = a.received
	if m.parts[index] != nil {
		return nil
	}
	m.parts[index] = append([]byte(nil), datagram[fragmentHeaderBytes:]...)
	m.missing--
	if m.missing > 0 {
		return nil
	}
	delete(a.bySender, from)
	var message []byte
	for _, part := range m.parts {
		message = append(message, part...)
	}
	return message
}

// makeRoom drops the message whose latest fragment came first, if there are
// maxPartialMessages.
func (a *Assembler) makeRoom() {
	if len(a.bySender) < maxPartialMessages {
		return
	}
	var oldest netip.AddrPort
	at := a.received
	for from, m := range a.bySender {
		if m.receivedAt < at {
			oldest, at = from, m.receivedAt
		}
	}
	delete(a.bySender, oldest)
}
