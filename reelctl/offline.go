package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/document"
	"shallotreel.example/reelctl/compare"
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
		return printCheckResult(checkResult{Field: fieldError.Field, Value: fieldError.Value, Remedy: fieldError.Remedy})
	}
	if err != nil {
		return err
	}
	return printCheckResult(checkResult{Valid: true, Revision: doc.Revision, Digest: doc.Digest(), Preset: doc.PresetInForce})
}

func printCheckResult(checkResult checkResult) error {
	switch {
	case global.JSON:
		if err := printJSON(checkResult); err != nil {
			return err
		}
	case checkResult.Valid:
		fmt.Printf("valid: revision %d, preset %s, digest %s\n", checkResult.Revision, checkResult.Preset, checkResult.Digest)
	default:
		fmt.Printf("invalid: field %s: value %s: %s\n", checkResult.Field, checkResult.Value, checkResult.Remedy)
	}
	if !checkResult.Valid {
		return errNegativeResult
	}
	return nil
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
	if err := printChanges(changes); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errNegativeResult
	}
	return nil
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
	if global.JSON {
		return printJSON(changes)
	}
	if len(changes) == 0 {
		fmt.Println("no difference")
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FIELD\tFROM\tTO")
	for _, change := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\n", change.Field, change.From, change.To)
	}
	return table.Flush()
}
