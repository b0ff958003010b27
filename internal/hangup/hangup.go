// Package hangup keeps SIGHUP from ending a process that does not handle it yet: the
// signal is ignored from before the Go runtime starts, until a handler is set up with
// signal.Notify or Restore is called. Without cgo it has no effect.
package hangup
