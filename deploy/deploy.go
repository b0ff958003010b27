// Package deploy holds the example configurations and settings of the two
// organisations that use the system.
package deploy

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed fundacion/*.jsonc chomkaew/*.jsonc
var files embed.FS

// Names lists the deployments.
func Names() []string { return []string{"fundacion", "chomkaew"} }

// Config returns the configuration of a deployment.
func Config(name string) ([]byte, error) { return read(name, "config.jsonc") }

// Settings returns the example settings of one entry host of a deployment.
func Settings(name string) ([]byte, error) { return read(name, "settings.jsonc") }

func read(name, file string) ([]byte, error) {
	data, err := fs.ReadFile(files, name+"/"+file)
	if err != nil {
		return nil, fmt.Errorf("no deployment %q", name)
	}
	return data, nil
}
