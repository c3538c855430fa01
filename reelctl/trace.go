package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"shallotreel.example/reelctl/trace"
)

type traceCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" required:"1" description:"log of an instance"`
	} `positional-args:"yes"`
}

// Execute prints what the logs record about the request.
func (command *traceCommand) Execute([]string) error {
	lines, err := readLogs(command.Args.Files)
	if err != nil {
		return err
	}
	found, err := trace.Find(lines, command.Args.Request)
	if errors.Is(err, trace.ErrNotFound) {
		_, _ = os.Stderr.WriteString("reelctl: " + err.Error() + "\n") // the exit code reports it even if the write fails
		return errNegativeResult
	}
	if err != nil {
		return err
	}
	return printResult(found, func() error { return found.Print(os.Stdout) }, false)
}

type marksCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"log of an instance"`
	} `positional-args:"yes"`
}

// Execute prints the marks on requests that the logs mention, and why each stands.
func (command *marksCommand) Execute([]string) error {
	lines, err := readLogs(command.Args.Files)
	if err != nil {
		return err
	}
	marks := trace.Marks(lines)
	return printResult(marks, func() error { return trace.PrintMarks(os.Stdout, marks) }, false)
}

// readLogs returns the lines of all files.
func readLogs(names []string) ([]*trace.Line, error) {
	var lines []*trace.Line
	for _, name := range names {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) ([]*trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer file.Close()
	lines, err := trace.Read(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return lines, nil
}
