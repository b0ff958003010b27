package connlimit

import "bytes"

// What a head takes while it is read and while its request is in progress.
const (
	// ownHeadBytes is the part that each connection has for itself.
	ownHeadBytes = 8 << 10
	// headerLineBytes is what a header line takes beyond its bytes: strings and a place
	// in the map of the headers, with what the garbage collector leaves of its growth.
	headerLineBytes = 256
	// encryptedFactor is what a byte on an encrypted connection may take, as its lines
	// cannot be counted. ownEncryptedBytes leaves room for the handshake.
	encryptedFactor   = 10
	ownEncryptedBytes = encryptedFactor * 6 << 10
)

// headMemory is the memory that heads share. A head may take as much as it then leaves
// free, so long heads yield first and no head takes all.
type headMemory struct{ free int }

// headUse is what the head of one request takes.
type headUse struct {
	// bytes is what it takes in all, and shared the part of it from the headMemory.
	bytes, shared int
}

// cost is the memory that a piece of a head takes.
type cost struct {
	bytes int
	// own is the part that the head's connection has for itself.
	own int
}

func costOf(bytes, lines int, encryption Encryption) cost {
	if encryption == Encrypted {
		return cost{bytes: encryptedFactor * bytes, own: ownEncryptedBytes}
	}
	return cost{bytes: bytes + headerLineBytes*lines, own: ownHeadBytes}
}

// headScan finds the end of a head, which is a blank line. Its zero value is ready for use.
type headScan struct {
	// blank is set if the current line is not the first and has no character so far.
	blank bool
}

// next returns how many bytes of a piece belong to the head, and how many lines end in them.
// After the end of a head the next one begins.
func (s *headScan) next(piece []byte) (n, lines int) {
	for {
		end := bytes.IndexByte(piece[n:], '\n')
		if end < 0 {
			s.blank = s.blank && isBlank(piece[n:])
			return len(piece), lines
		}
		blank := s.blank && isBlank(piece[n:n+end])
		n += end + 1
		lines++
		s.blank = true
		if blank {
			*s = headScan{}
			return n, lines
		}
	}
}

func isBlank(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }

// grow takes memory for a piece of a head and reports whether there is room for it.
func (m *headMemory) grow(u *headUse, c cost) bool {
	u.bytes += c.bytes
	shared := max(u.bytes-c.own, 0)
	free := m.free - (shared - u.shared)
	if shared > 0 && shared > free {
		return false
	}
	m.free, u.shared = free, shared
	return true
}

// release gives back what a head took.
func (m *headMemory) release(u *headUse) {
	m.free += u.shared
	*u = headUse{}
}
