// Package deploy embeds the example configurations and settings of the two
// organisations that use the system.
package deploy

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed fundacion/*.jsonc chomkaew/*.jsonc
var files embed.FS

// Names returns the names of the deployments.
func Names() []string { return []string{"fundacion", "chomkaew"} }

// Config returns the configuration of a deployment, as JSON with comments. It
// returns an error if there is no deployment of that name.
func Config(name string) ([]byte, error) { return read(name, "config.jsonc") }

// Settings returns the example settings of one gateway host of a deployment, as
// JSON with comments. It returns an error if there is no deployment of that name.
func Settings(name string) ([]byte, error) { return read(name, "settings.jsonc") }

func read(name, file string) ([]byte, error) {
	data, err := fs.ReadFile(files, name+"/"+file)
	if err != nil {
		return nil, fmt.Errorf("no deployment %q", name)
	}
	return data, nil
}
