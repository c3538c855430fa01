package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/bench/plain"
)

// plainCommand runs one baseline instance. The lab starts it as a separate process.
type plainCommand struct {
	Settings string `long:"settings" required:"yes" description:"path of the settings file"`
}

// Execute reads the settings file and serves requests until the process ends.
func (command *plainCommand) Execute([]string) error {
	data, err := os.ReadFile(command.Settings)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	var settings plain.Settings
	if err := json.Unmarshal(data, &settings); err != nil {
		return errors.Wrap(err, "decode settings")
	}
	return plain.Run(settings)
}
