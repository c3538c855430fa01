package main

import (
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
)

// printResult prints the result of a command, as JSON or by printTable, and returns errNegativeResult if it is negative.
func printResult(result any, printTable func() error, isNegative bool) error {
	if global.JSON {
		printTable = func() error { return printJSON(result) }
	}
	if err := printTable(); err != nil {
		return err
	}
	if isNegative {
		return errNegativeResult
	}
	return nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}
