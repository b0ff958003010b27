// Package textdiff compares texts line by line.
package textdiff

import "github.com/pmezard/go-difflib/difflib"

// contextLines is the number of unchanged lines shown around a difference.
const contextLines = 3

// Unified returns a unified diff of two texts, or "" if they are equal.
func Unified(from, to, fromName, toName string) string {
	// Writes to the in-memory buffer do not fail.
	text, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: fromName, ToFile: toName, Context: contextLines,
	})
	return text
}
