package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Demo  demoCommand  `command:"demo" description:"start a deployment, send load to it and print a table of results"`
	Run   runCommand   `command:"run" description:"run an experiment file and print the result as one JSON object on the last line"`
	Plain plainCommand `command:"plain-instance" hidden:"yes"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Examples:\n  go run ./bench demo --deployment bellandi\n  go run ./bench run experiments/straggler.json"
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) {
			fmt.Fprintln(os.Stderr, usage.Message)
			if usage.Type == flags.ErrHelp {
				return
			}
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func printJSON(value any) error {
	if err := json.NewEncoder(os.Stdout).Encode(value); err != nil {
		return errors.Wrap(err, "print result")
	}
	return nil
}
