// Package story puts the log lines together that explain what happened to one
// request: its own, and what its host believed and lost around that time.
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

// ErrNoRequest says that no line names the request.
var ErrNoRequest = eris.New("no line names the request")

// The time around a request in which other lines may explain it.
const (
	before = 10 * time.Second
	after  = 2 * time.Second
)

// maxLine bounds a line in bytes; the log's own are far shorter.
const maxLine = 1 << 20

// Line is one line of a structured log.
type Line struct {
	// Source is the host, or the file that the line stands in.
	Source  string
	At      time.Time
	Event   int
	Message string
	// Fields are the other members.
	Fields map[string]any
}

// text returns a member that is a text, "" if there is none.
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// Read reads the lines of a log. Text before a line's first brace names its
// source; else that is the one given. It counts the lines that are no log
// lines.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), source)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrap(scanner.Err(), "read log")
}

func parse(data []byte, source string) (Line, bool) {
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

// Explain returns the lines that explain a request, in the order of their time.
// Hosts' clocks may differ a little.
func Explain(lines []Line, request string) ([]Line, error) {
	var own []Line
	for _, line := range lines {
		if line.text("request") == request {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil, eris.Wrap(ErrNoRequest, request)
	}
	told := own
	for _, line := range lines {
		if slices.ContainsFunc(own, func(o Line) bool { return explains(&line, &o) }) {
			told = append(told, line)
		}
	}
	sort.SliceStable(told, func(i, j int) bool { return told[i].At.Before(told[j].At) })
	return withoutEchoes(told, own[0].Source), nil
}

// withoutEchoes leaves out what other hosts say of an upstream after one host
// said it.
func withoutEchoes(lines []Line, source string) []Line {
	said := map[string]bool{}
	var kept []Line
	for _, line := range lines {
		what := line.text("subject") + " " + line.text("what")
		if line.Source != source && said[what] {
			continue
		}
		said[what] = true
		kept = append(kept, line)
	}
	return kept
}

// explains reports whether a line says something about the circumstances of a
// request's line: what became of its upstream, or what its host lost, regained
// or put in force. Lines about other requests do not.
func explains(line, request *Line) bool {
	if line.text("request") != "" {
		return false
	}
	took, _ := request.Fields["took"].(float64)
	start := request.At.Add(-time.Duration(took)*time.Millisecond - before)
	if line.At.Before(start) || line.At.After(request.At.Add(after)) {
		return false
	}
	subject := line.text("subject")
	if upstream := request.text("upstream"); upstream != "" && subject == upstream {
		return true
	}
	return subject == "" && line.Source == request.Source
}
