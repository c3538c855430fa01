package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// version is the release that --version prints.
const version = "0.1.0"

// Exit codes for scripts.
const (
	exitOK       = 0
	exitNegative = 1 // negative result: invalid, different, not uniform, not answering or not found
	exitUsage    = 2 // wrong arguments
	exitFailure  = 3 // an instance or a file could not be read
)

// errNegativeResult is returned by a command that ran without failure and has a negative result.
var errNegativeResult = errors.New("negative result")

type options struct {
	JSON        bool               `long:"json" description:"print JSON instead of a table"`
	Version     func()             `long:"version" description:"print the version and exit"`
	Check       checkCommand       `command:"check" description:"validate a configuration document as the instances do"`
	Diff        diffCommand        `command:"diff" description:"show the fields in which another document or preset differs"`
	Status      statusCommand      `command:"status" description:"show all instances, including those that do not answer"`
	Explain     explainCommand     `command:"explain" description:"show the targets of a request and the reason for each choice"`
	Drain       drainCommand       `command:"drain" description:"make an instance leave the fleet, finish its requests and stop"`
	Evacuations evacuationsCommand `command:"evacuations" description:"show which data centres are evacuated, at how many instances, and which targets are cold"`
	Load        loadCommand        `command:"load" description:"show which requests are admitted and refused, why, and what would end the refusals"`
	Marks       marksCommand       `command:"marks" description:"show the marks on requests that crash targets, and why each stands, from the logs of instances"`
	Trace       traceCommand       `command:"trace" description:"show what the logs of instances record about one request"`
}

var global options

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	global = options{}
	global.Version = func() {
		fmt.Println("reelctl", version)
		os.Exit(exitOK)
	}
	parser := flags.NewNamedParser("reelctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &global); err != nil {
		panic(err) // the options are defined in this package
	}
	parser.LongDescription = examples
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "reelctl:", usage.Message)
		return exitUsage
	case errors.Is(err, errNegativeResult):
		return exitNegative
	default:
		fmt.Fprintln(os.Stderr, "reelctl:", err)
		return exitFailure
	}
}

const examples = `Examples:
  reelctl check deployments/gebeta.json
  reelctl diff deployments/gebeta.json --preset peak
  reelctl status --instance 127.0.0.1:8080
  reelctl explain --instance 127.0.0.1:8080 --kind chef-planner --query "leftover injera"
  reelctl drain --instance 127.0.0.1:8080
  reelctl evacuations --instance 10.0.0.1:9464
  reelctl load --instance 10.0.0.1:9464
  reelctl trace 5f1c0a77 front-1.log front-2.log
Exit codes: 0 success, 1 negative result (such as invalid or different), 2 wrong usage, 3 an instance or file could not be read.`
