// Package textdiff compares texts by lines.
package textdiff

import "github.com/pmezard/go-difflib/difflib"

// contextLines is the number of equal lines around a difference.
const contextLines = 3

// Unified returns a unified diff of two texts, empty when they are equal.
func Unified(from, to, fromName, toName string) string {
	// The diff is written to memory, which does not fail.
	text, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: fromName, ToFile: toName, Context: contextLines,
	})
	return text
}
