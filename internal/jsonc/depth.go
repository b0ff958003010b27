package jsonc

import (
	"bytes"
	"fmt"
)

// maxDepth is the maximum nesting of a document. Parsing and checking are
// recursive and documents are untrusted, so unbounded nesting could exhaust the
// stack.
const maxDepth = 200

// checkDepth returns a fault for a document nested deeper than maxDepth. It
// counts brackets outside strings and comments.
func checkDepth(src []byte) Faults {
	depth := 0
	for i := 0; i < len(src); {
		switch src[i] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			line := 1 + bytes.Count(src[:i], []byte("\n"))
			return Faults{{Line: line, Message: fmt.Sprintf("nested more than %d levels", maxDepth)}}
		}
		i += tokenLength(src[i:])
	}
	return nil
}

// tokenLength returns the length in bytes of the string or comment at the start
// of src, or 1 if there is neither.
func tokenLength(src []byte) int {
	switch {
	case src[0] == '"':
		return stringLength(src)
	case bytes.HasPrefix(src, []byte("//")):
		return lengthUntil(src, "\n")
	case bytes.HasPrefix(src, []byte("/*")):
		return lengthUntil(src, "*/")
	}
	return 1
}

func stringLength(src []byte) int {
	for i := 1; i < len(src); i++ {
		switch src[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(src)
}

// lengthUntil returns the length in bytes of a comment up to and including its
// terminator, or the length of src if the terminator is missing.
func lengthUntil(src []byte, terminator string) int {
	at := bytes.Index(src[2:], []byte(terminator))
	if at < 0 {
		return len(src)
	}
	return 2 + at + len(terminator)
}
