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

// demoRequestRates holds the requests per second of each kind, by the kind's operation.
var demoRequestRates = map[document.Operation]float64{document.Search: 40, document.Fetch: 40, document.Record: 10}

type demoCommand struct {
	Deployment string `long:"deployment" default:"gebeta" choice:"gebeta" choice:"bellandi" choice:"vannkobling" description:"deployment to start"`
	Keep       bool   `long:"keep" description:"keep the deployment running until an interrupt and print example calls"`
}

// Execute starts the deployment, sends load to it and prints a table of results; it returns an error if an invariant is
// violated.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root, err := workspaceDir()
	if err != nil {
		return err
	}
	fmt.Printf("building and starting 9 instances, the platform and the targets of %s\n", command.Deployment)
	deployment, err := lab.Start(ctx, lab.Config{Root: root, Deployment: command.Deployment, Instances: 9, Seed: 1, DecisionEvery: 1000})
	if err != nil {
		return err
	}
	defer deployment.Close()
	fmt.Printf("ready; sending requests for %v after %v of warm-up\n", demoDuration, demoWarmup)
	outcome, err := measure(ctx, deployment, command.experiment(deployment.Document()))
	if err != nil {
		return err
	}
	printTable(outcome)
	if command.Keep {
		printExampleCalls(deployment)
		<-ctx.Done()
	}
	if violated := violatedInvariants(outcome); violated > 0 {
		return errors.Errorf("%d invariants are violated", violated)
	}
	return nil
}

func (command *demoCommand) experiment(doc *document.Document) experiment.Experiment {
	spec := experiment.Experiment{Deployment: command.Deployment, Seed: 1, Instances: 9, Callers: demoCallers,
		Queries: demoQueries, Warmup: document.Duration(demoWarmup), Duration: document.Duration(demoDuration)}
	for _, kind := range doc.Kinds {
		spec.Load = append(spec.Load, experiment.Load{Kind: kind.Name, Rate: demoRequestRates[kind.Operation]})
	}
	return spec
}

// invariant is a counter of the result that must be 0.
type invariant struct {
	name       string
	violations int64
}

func invariants(outcome load.Result) []invariant {
	return []invariant{
		{"late", outcome.Late}, {"lost", outcome.Lost}, {"coverage_false", outcome.CoverageFalse},
		{"mixed_snapshots", outcome.MixedSnapshots}, {"crossed_answers", outcome.MismatchedAnswers},
		{"ran_after_refused", outcome.RanAfterRefused}, {"repeated_runs", outcome.RepeatedRuns},
		{"cut_in_flight", outcome.BrokenConnections}, {"sent_to_leaving", outcome.SentToLeaving},
		{"config_reverts", outcome.ConfigReverts}, {"connections_over_cap", outcome.ConnectionsOverCap},
	}
}

func violatedInvariants(outcome load.Result) int {
	violated := 0
	for _, invariant := range invariants(outcome) {
		if invariant.violations != 0 {
			violated++
		}
	}
	return violated
}

func printTable(outcome load.Result) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d\nanswered\t%d\nrefused, not run\t%d\noutcome unknown\t%d\n",
		outcome.Requests, outcome.Answered, outcome.Refused, outcome.Unknown)
	fmt.Fprintf(table, "latency p50\t%.1f ms\nlatency p99\t%.1f ms\nlatency p99.9\t%.1f ms\n", outcome.P50, outcome.P99, outcome.P999)
	fmt.Fprintf(table, "mean coverage\t%.4f\nextra load on targets\t%.3f\n", outcome.CoverageMean, outcome.ExtraLoad)
	fmt.Fprintf(table, "configuration lag\t%.0f ms\nload of the busiest instance relative to the mean\t%.2f\n", outcome.ConfigLag, outcome.InstanceLoadMaxOverMean)
	for _, invariant := range invariants(outcome) {
		fmt.Fprintf(table, "%s\t%d\n", invariant.name, invariant.violations)
	}
	table.Flush()
}

func printExampleCalls(deployment *lab.Lab) {
	instance := deployment.Instances()[0]
	doc := deployment.Document()
	event, kind := doc.Events[0], doc.Kinds[0]
	fmt.Printf("\nthe deployment runs until an interrupt; example calls:\n")
	fmt.Printf("curl -s 'http://%s/v1/addresses?caller=%s&data_centre=%s'\n", instance.Caller, event.People[0], instance.DataCentre)
	fmt.Printf("curl -s -d '{\"caller\":%q,\"event\":%q,\"kind\":%q,\"query\":\"leftover injera\"}' http://%s/v1/search\n",
		event.People[0], event.Name, kind.Name, instance.Caller)
	fmt.Printf("go run ./reelctl status --instance %s\n", instance.Caller)
}
