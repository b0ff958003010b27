// Package story selects the log lines that explain what happened to one
// request: its own, and those about its upstream and its host around that time.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoRequest is returned when no line belongs to the request.
var ErrNoRequest = eris.New("no line names the request")

// Time before the start and after the end of a request in which other lines may
// explain it.
const (
	windowBefore = 10 * time.Second
	windowAfter  = 2 * time.Second
)

// maxLineBytes bounds a line: Read fails on a longer one. The lines of the log
// are far shorter.
const maxLineBytes = 1 << 20

// Line is one line of a structured log.
type Line struct {
	// Source is the host, or the file that contains the line.
	Source  string
	At      time.Time
	Event   int
	Message string
	// Fields holds the other fields of the line, without its level, as decoded
	// from JSON.
	Fields map[string]any
}

// text returns the value of a string field, "" if there is none.
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// Read reads the lines of a log. In merged logs, the last word before the first
// brace of a line is its source; other lines get the given source. skipped is
// the number of lines that are not log lines.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes(), source)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "read log")
}

// parseLine parses a line. It reports whether it is a log line, with a time and
// an event number.
func parseLine(data []byte, source string) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	if words := bytes.Fields(data[:start]); len(words) > 0 {
		source = string(words[len(words)-1])
	}
	line := Line{Source: source}
	if json.Unmarshal(data[start:], &line.Fields) != nil {
		return Line{}, false
	}
	number, ok := line.Fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, line.text("ts"))
	if !ok || err != nil {
		return Line{}, false
	}
	line.At, line.Event, line.Message = at, int(number), line.text("msg")
	for _, name := range []string{"event", "ts", "msg", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// Explain returns the lines that explain a request, ordered by time. The clocks
// of hosts may differ slightly. It returns ErrNoRequest if no line belongs to
// the request.
func Explain(lines []Line, requestID string) ([]Line, error) {
	var own []Line
	for _, line := range lines {
		if line.text("request") == requestID {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil, eris.Wrap(ErrNoRequest, requestID)
	}
	related := own
	for _, line := range lines {
		if slices.ContainsFunc(own, func(o Line) bool { return explains(&line, &o) }) {
			related = append(related, line)
		}
	}
	sort.SliceStable(related, func(i, j int) bool { return related[i].At.Before(related[j].At) })
	return dropRepeats(related, own[0].Source), nil
}

// dropRepeats drops lines of hosts other than source whose fields subject and
// what both equal those of an earlier line. A missing field counts as empty, so
// lines without both fields count as equal.
func dropRepeats(lines []Line, source string) []Line {
	seen := map[string]bool{}
	var kept []Line
	for _, line := range lines {
		key := line.text("subject") + " " + line.text("what")
		if line.Source != source && seen[key] {
			continue
		}
		seen[key] = true
		kept = append(kept, line)
	}
	return kept
}

// explains reports whether a line may explain requestLine, a line of a request:
// its time is from windowBefore before the start of the request to windowAfter
// after its end, and either its subject is the request's upstream, or it is a
// line of the same host without a subject, such as a lost or regained
// dependency or a new configuration. A line with a request ID never does.
func explains(line, requestLine *Line) bool {
	if line.text("request") != "" {
		return false
	}
	took, _ := requestLine.Fields["took"].(float64)
	start := requestLine.At.Add(-time.Duration(took)*time.Millisecond - windowBefore)
	if line.At.Before(start) || line.At.After(requestLine.At.Add(windowAfter)) {
		return false
	}
	subject := line.text("subject")
	if upstream := requestLine.text("upstream"); upstream != "" && subject == upstream {
		return true
	}
	return subject == "" && line.Source == requestLine.Source
}
