package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/bench/plain"
)

// plainCommand is one instance of the baseline, which the lab starts as a process.
type plainCommand struct {
	Settings string `long:"settings" required:"yes" description:"path of the settings file"`
}

// Execute serves until the process ends.
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
