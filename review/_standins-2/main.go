// Command cases plays the scripted cases of the review: small stand-ins of clients, workers and
// the platform around the project's own program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held, broken, unable = 0, 1, 2
)

var cases = map[string]func(f *fleet, trouble bool){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes the record into a folder, and returns the exit code.
func play(name, folder string) (code int) {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "case-")
	must(err)
	r := &record{started: time.Now()}
	f := newFleet(root, dir, r)
	defer func() {
		// The case is over when all that it started has ended.
		if p := recover(); p != nil {
			r.event("the case could not run: %v", p)
			code = unable
		}
		f.end()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
		r.write(filepath.Join(folder, "record.txt"), code)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.end()
		os.Exit(unable)
	}()
	trouble := os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "kills"
	r.event("case %s, trouble %v", name, trouble)
	cases[name](f, trouble)
	if len(r.breaks) > 0 {
		return broken
	}
	return held
}

// record is what was sent, answered and run.
type record struct {
	started time.Time
	mu      sync.Mutex
	lines   []string
	breaks  []string
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// breach notes that the rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.event("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// unable ends a case that cannot run.
func (r *record) unable(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

func (r *record) write(path string, code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.Strings(r.lines)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[code]
	text := strings.Join(r.lines, "\n") + "\nresult: " + verdict + "\n"
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	for _, b := range r.breaks {
		fmt.Println("broken:", b)
	}
	fmt.Println("result:", verdict)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
