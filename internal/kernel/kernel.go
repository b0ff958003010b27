// Package kernel holds the registry of modules and runs their life cycle. A
// module registers itself in an init function of its package, so importing the
// package adds it.
package kernel

import (
	"context"
	"fmt"
	"reflect"
	"sort"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/settings"
)

// ErrModule is wrapped by errors about options that cannot be decoded and values
// that Lookup does not find.
var ErrModule = eris.New("module")

// Info describes a module.
type Info struct {
	// ID is the module's dotted name, whose first part is its stage: "control",
	// "data" or "http". Modules are provisioned and started in order of their IDs.
	ID string
	// New returns a new instance, into which options are decoded.
	New func() Module
}

// Module is a part of the program with a life cycle. It may also implement
// Provisioner, Validator, Starter, Stopper, Router and control.Machine.
type Module interface {
	ModuleInfo() Info
}

// Provisioner sets a module up; modules with earlier IDs are already set up.
type Provisioner interface {
	Provision(ctx *Context) error
}

// Validator validates a module after its options are decoded and it is provisioned.
type Validator interface {
	Validate() error
}

// Starter starts a module's own goroutines; it does not block.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper stops what Start started, before ctx is done.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Router adds a module's HTTP routes.
type Router interface {
	Routes(e *echo.Echo)
}

var (
	registryMu sync.Mutex
	registry   = map[string]Info{}
)

// Register adds a module to the registry. It panics if the ID is already
// registered, which is a programming error found at start-up.
func Register(m Module) {
	info := m.ModuleInfo()
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[info.ID]; taken {
		panic(fmt.Sprintf("module %q is registered twice", info.ID))
	}
	registry[info.ID] = info
}

// Modules returns the registered modules, sorted by ID.
func Modules() []Info {
	registryMu.Lock()
	defer registryMu.Unlock()
	infos := make([]Info, 0, len(registry))
	for _, info := range registry {
		infos = append(infos, info)
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].ID < infos[j].ID })
	return infos
}

// Context holds the values with which modules are provisioned.
type Context struct {
	Settings *settings.Settings
	Self     control.Self
	Events   *event.Logger
	values   map[reflect.Type]any
}

// NewContext returns a context without values.
func NewContext(s *settings.Settings, self control.Self, events *event.Logger) *Context {
	return &Context{Settings: s, Self: self, Events: events, values: map[reflect.Type]any{}}
}

// Provide makes a value available to Lookup under type T.
func Provide[T any](ctx *Context, value T) {
	ctx.values[reflect.TypeFor[T]()] = value
}

// Lookup returns the value that was provided under type T. Its error wraps
// ErrModule.
func Lookup[T any](ctx *Context) (T, error) {
	value, ok := ctx.values[reflect.TypeFor[T]()].(T)
	if !ok {
		return value, eris.Wrapf(ErrModule, "nothing provides %v", reflect.TypeFor[T]())
	}
	return value, nil
}

// App is one set of instances of all registered modules.
type App struct {
	modules []Module
	started []Module
}

// NewApp creates, provisions and validates an instance of each registered module.
func NewApp(ctx *Context) (*App, error) {
	app := &App{}
	for _, info := range Modules() {
		m := info.New()
		if err := prepare(ctx, info.ID, m); err != nil {
			return nil, err
		}
		app.modules = append(app.modules, m)
	}
	return app, nil
}

// prepare decodes a module's options into it, provisions it and validates it.
// prepare decodes a module's options into it, provisions it and validates it.
func prepare(ctx *Context, id string, m Module) error {
	if options, given := ctx.Settings.Modules[id]; given {
		if err := decodeOptions(options, m); err != nil {
			return eris.Wrapf(ErrModule, "%s: options: %v", id, err)
		}
	}
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return eris.Wrapf(err, "%s: provision", id)
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return eris.Wrapf(err, "%s: validate", id)
		}
	}
	return nil
}

func decodeOptions(options []byte, m Module) error {
	parsed, err := jsonc.Parse(options)
	if err != nil {
		return err
	}
	return parsed.Decode(m).Err()
}

// NewMachines creates, provisions and validates only the registered modules that
// implement control.Machine.
func NewMachines(ctx *Context) ([]control.Machine, error) {
	var machines []control.Machine
	for _, info := range Modules() {
		m := info.New()
		machine, ok := m.(control.Machine)
		if !ok {
			continue
		}
		if err := prepare(ctx, info.ID, m); err != nil {
			return nil, err
		}
		machines = append(machines, machine)
	}
	return machines, nil
}

// Machines returns the modules that implement control.Machine.
func (a *App) Machines() []control.Machine {
	var machines []control.Machine
	for _, m := range a.modules {
		if machine, ok := m.(control.Machine); ok {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Routes adds the HTTP routes of all modules.
func (a *App) Routes(e *echo.Echo) {
	for _, m := range a.modules {
		if r, ok := m.(Router); ok {
			r.Routes(e)
		}
	}
}

// Start starts the modules in order. If one fails, it stops those already started.
func (a *App) Start(ctx context.Context) error {
	for _, m := range a.modules {
		s, ok := m.(Starter)
		if !ok {
			continue
		}
		if err := s.Start(ctx); err != nil {
			a.Stop(ctx)
			return eris.Wrapf(err, "%s: start", m.ModuleInfo().ID)
		}
		a.started = append(a.started, m)
	}
	return nil
}

// Stop stops the started modules in reverse order and returns their errors.
func (a *App) Stop(ctx context.Context) []error {
	var errs []error
	for i := len(a.started) - 1; i >= 0; i-- {
		s, ok := a.started[i].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "%s: stop", a.started[i].ModuleInfo().ID))
		}
	}
	a.started = nil
	return errs
}
