package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
	"shallotreel.example/reelctl/compare"
	"shallotreel.example/reelctl/table"
)

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"configuration document (JSON)"`
	} `positional-args:"yes"`
}

// checkResult is the result of the check command.
type checkResult struct {
	Valid    bool   `json:"valid"`
	Revision uint64 `json:"revision,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Preset   string `json:"preset,omitempty"`
	Field    string `json:"field,omitempty"`
	Value    string `json:"value,omitempty"`
	Remedy   string `json:"remedy,omitempty"`
}

// Execute validates the document and prints the result.
func (command *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(command.Args.File)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	doc, err := document.Parse(data)
	var fieldError *document.FieldError
	if errors.As(err, &fieldError) {
		return checkResult{Field: fieldError.Field, Value: fieldError.Value, Remedy: fieldError.Remedy}.report()
	}
	if err != nil {
		return err
	}
	return checkResult{Valid: true, Revision: doc.Revision, Digest: doc.Digest(), Preset: doc.PresetInForce}.report()
}

// report prints the result.
func (result checkResult) report() error {
	return printResult(result, result.print, !result.Valid)
}

func (result checkResult) print() error {
	if result.Valid {
		_, err := fmt.Printf("valid: revision %d, preset %s, digest %s\n", result.Revision, result.Preset, result.Digest)
		return err
	}
	_, err := fmt.Printf("invalid: field %s: value %s: %s\n", result.Field, result.Value, result.Remedy)
	return err
}

type diffCommand struct {
	Preset string `long:"preset" description:"compare the document's preset in force with this one"`
	Args   struct {
		From string `positional-arg-name:"FROM" required:"yes" description:"configuration document (JSON)"`
		To   string `positional-arg-name:"TO" description:"document to compare with"`
	} `positional-args:"yes"`
}

// Execute prints the fields that differ.
func (command *diffCommand) Execute([]string) error {
	from, err := readDocument(command.Args.From)
	if err != nil {
		return err
	}
	changes, err := command.changes(from)
	if err != nil {
		return err
	}
	return printResult(changes, func() error { return printChanges(changes) }, len(changes) > 0)
}

func (command *diffCommand) changes(from *document.Document) ([]compare.Change, error) {
	if command.Preset != "" {
		return compare.Presets(from, command.Preset)
	}
	if command.Args.To == "" {
		return nil, errors.New("name a second document or a preset with --preset")
	}
	to, err := readDocument(command.Args.To)
	if err != nil {
		return nil, err
	}
	return compare.Documents(from, to)
}

func readDocument(path string) (*document.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	doc, err := document.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return doc, nil
}

func printChanges(changes []compare.Change) error {
	if len(changes) == 0 {
		fmt.Println("no difference")
		return nil
	}
	table := table.New(os.Stdout)
	fmt.Fprintln(table, "FIELD\tFROM\tTO")
	for _, change := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\n", change.Field, change.From, change.To)
	}
	return table.Flush()
}
