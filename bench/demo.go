package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/bench/experiment"
	"shallotreel.example/bench/lab"
	"shallotreel.example/bench/load"
	"shallotreel.example/reel/document"
)

const (
	demoDuration = 8 * time.Second
	demoWarmup   = 3 * time.Second
	demoCallers  = 90
	demoQueries  = 50
)

// demoRates are requests a second of each kind.
var demoRates = map[document.Operation]float64{document.Search: 40, document.Fetch: 40, document.Record: 10}

type demoCommand struct {
	Deployment string `long:"deployment" default:"gebeta" choice:"gebeta" choice:"bellandi" description:"deployment to serve"`
	Keep       bool   `long:"keep" description:"leave the deployment up until an interrupt, and print calls that work"`
}

// Execute runs the demo.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root, err := workspace()
	if err != nil {
		return err
	}
	fmt.Printf("building and starting 9 instances, the platform and the targets of %s\n", command.Deployment)
	started, err := lab.Start(ctx, lab.Config{Root: root, Deployment: command.Deployment, Instances: 9, Seed: 1, Decisions: 1000})
	if err != nil {
		return err
	}
	defer started.Close()
	fmt.Printf("ready; sending requests for %v after %v of warm-up\n", demoDuration, demoWarmup)
	outcome, err := measure(ctx, started, command.experiment(started.Document()))
	if err != nil {
		return err
	}
	printTable(outcome)
	if command.Keep {
		printCalls(started)
		<-ctx.Done()
	}
	if broken := brokenPromises(outcome); broken > 0 {
		return errors.Errorf("%d promise counters are not 0", broken)
	}
	return nil
}

func (command *demoCommand) experiment(doc *document.Document) experiment.Experiment {
	described := experiment.Experiment{Deployment: command.Deployment, Seed: 1, Instances: 9, Callers: demoCallers,
		Queries: demoQueries, Warmup: document.Duration(demoWarmup), Duration: document.Duration(demoDuration)}
	for _, kind := range doc.Kinds {
		described.Load = append(described.Load, experiment.Load{Kind: kind.Name, Rate: demoRates[kind.Operation]})
	}
	return described
}

type promise struct {
	name  string
	count int64
}

func promises(outcome load.Result) []promise {
	return []promise{
		{"late", outcome.Late}, {"lost", outcome.Lost}, {"coverage_false", outcome.CoverageFalse},
		{"mixed_snapshots", outcome.MixedSnapshots}, {"crossed_answers", outcome.CrossedAnswers},
		{"ran_after_refused", outcome.RanAfterRefused}, {"repeated_runs", outcome.RepeatedRuns},
		{"cut_in_flight", outcome.CutInFlight}, {"sent_to_leaving", outcome.SentToLeaving},
		{"config_reverts", outcome.ConfigReverts}, {"connections_over_cap", outcome.ConnectionsOverCap},
	}
}

func brokenPromises(outcome load.Result) int {
	broken := 0
	for _, promise := range promises(outcome) {
		if promise.count != 0 {
			broken++
		}
	}
	return broken
}

func printTable(outcome load.Result) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d\nanswered\t%d\nrefused, not run\t%d\noutcome unknown\t%d\n",
		outcome.Requests, outcome.Answered, outcome.Refused, outcome.Unknown)
	fmt.Fprintf(table, "latency p50\t%.1f ms\nlatency p99\t%.1f ms\nlatency p99.9\t%.1f ms\n", outcome.P50, outcome.P99, outcome.P999)
	fmt.Fprintf(table, "mean coverage\t%.4f\nextra load on targets\t%.3f\n", outcome.CoverageMean, outcome.ExtraLoad)
	fmt.Fprintf(table, "configuration lag\t%.0f ms\nload, busiest instance over mean\t%.2f\n", outcome.ConfigLag, outcome.InstanceLoadOver)
	for _, promise := range promises(outcome) {
		fmt.Fprintf(table, "%s\t%d\n", promise.name, promise.count)
	}
	table.Flush()
}

func printCalls(started *lab.Lab) {
	instance := started.Instances()[0]
	doc := started.Document()
	event, kind := doc.Events[0], doc.Kinds[0]
	fmt.Printf("\nthe deployment stays up until an interrupt; try:\n")
	fmt.Printf("curl -s 'http://%s/v1/addresses?caller=%s&data_centre=%s'\n", instance.Caller, event.People[0], instance.DataCentre)
	fmt.Printf("curl -s -d '{\"caller\":%q,\"event\":%q,\"kind\":%q,\"query\":\"leftover injera\"}' http://%s/v1/search\n",
		event.People[0], event.Name, kind.Name, instance.Caller)
	fmt.Printf("go run ./reelctl status --instance %s\n", instance.Caller)
}
