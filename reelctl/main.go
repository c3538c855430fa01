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
	exitOK         = 0
	exitDifferent  = 1 // the answer is no: invalid, different, or not uniform
	exitUsage      = 2
	exitNoInstance = 3
)

// errAnswerIsNo ends a command that worked and whose answer is no.
var errAnswerIsNo = errors.New("the answer is no")

type options struct {
	JSON    bool           `long:"json" description:"print JSON instead of a table"`
	Version func()         `long:"version" description:"print the version and exit"`
	Check   checkCommand   `command:"check" description:"judge a configuration document as the instances will"`
	Diff    diffCommand    `command:"diff" description:"show what another document or preset would change"`
	Status  statusCommand  `command:"status" description:"show all instances, and who did not answer"`
	Explain explainCommand `command:"explain" description:"show where a request would go, and why"`
	Drain   drainCommand   `command:"drain" description:"make an instance leave, finish its work and stop"`
	Trace   traceCommand   `command:"trace" description:"tell one request's story from the logs of instances"`
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
		panic(err) // the options are this program's own
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
	case errors.Is(err, errAnswerIsNo):
		return exitDifferent
	default:
		fmt.Fprintln(os.Stderr, "reelctl:", err)
		return exitNoInstance
	}
}

const examples = `Examples:
  reelctl check deployments/gebeta.json
  reelctl diff deployments/gebeta.json --preset peak
  reelctl status --instance 127.0.0.1:8080
  reelctl explain --instance 127.0.0.1:8080 --kind chef-planner --query "leftover injera"
  reelctl drain --instance 127.0.0.1:8080
  reelctl trace 5f1c0a77 front-1.log front-2.log
Exit codes: 0 yes, 1 the answer is no, 2 wrong usage, 3 no instance or file could be read.`
