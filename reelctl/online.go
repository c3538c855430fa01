package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"shallotreel.example/reel/operator"
	"shallotreel.example/reelctl/survey"
	"shallotreel.example/reelctl/table"
)

// instanceOption is the option with the address of the instance to which a command connects.
type instanceOption struct {
	Instance string `long:"instance" short:"i" required:"yes" description:"address of an instance, such as 127.0.0.1:8080"`
}

func (option instanceOption) address() (netip.AddrPort, error) { return parseInstance(option.Instance) }

// parseInstance parses the value of the option instance.
func parseInstance(value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("field instance: value %q: give an IP address and a port", value)
	}
	return address, nil
}

type statusCommand struct {
	instanceOption
	Targets bool `long:"targets" description:"show the targets of each instance"`
}

// Execute prints the status of all instances.
func (command *statusCommand) Execute([]string) error {
	address, err := command.address()
	if err != nil {
		return err
	}
	report, err := survey.Fleet(context.Background(), address)
	if err != nil {
		return err
	}
	isNegative := !report.Uniform || len(report.Unreachable) > 0
	return printResult(report, func() error { return command.print(report) }, isNegative)
}

func (command *statusCommand) print(report survey.Report) error {
	table := table.New(os.Stdout)
	fmt.Fprintln(table, "INSTANCE\tDATA CENTRE\tSTANDING\tREVISION\tPRESET\tSNAPSHOTS\tRUNNING\tWAITING\tTARGETS\tQUARANTINED")
	for _, status := range report.Statuses {
		waiting := 0
		var snapshots []string
		for _, source := range status.Sources {
			waiting += source.Waiting
			snapshots = append(snapshots, fmt.Sprint(source.Snapshot))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", status.Instance, status.DataCentre,
			status.Standing, status.Revision, status.Preset, strings.Join(snapshots, ","), status.Running,
			waiting, len(status.Targets), len(status.Quarantine))
	}
	for _, unreachable := range report.Unreachable {
		fmt.Fprintf(table, "%s\t\tdid not answer (%s)\n", unreachable.Instance, unreachable.State)
	}
	if command.Targets {
		printTargets(table, report.Statuses)
	}
	return table.Flush()
}

func printTargets(table io.Writer, statuses []operator.Status) {
	fmt.Fprintln(table, "\nTARGET\tHOLDER\tSTATE\tIN FLIGHT\tQUEUED\tLIMIT\tSNAPSHOTS")
	for _, status := range statuses {
		for _, target := range status.Targets {
			state := string(target.State)
			if target.Down {
				state = "down"
			}
			if slices.Contains(status.Leaving, target.Target) {
				state = "leaving"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%v\n", target.Target, status.Instance, state,
				target.InFlight, target.Queued, target.Limit, target.Snapshots)
		}
	}
}

type explainCommand struct {
	instanceOption
	Kind  string `long:"kind" required:"yes" description:"request kind"`
	Key   string `long:"key" description:"key of a fetch or a record"`
	Query string `long:"query" description:"query of a search"`
}

// Execute prints the targets to which the instance would send the request.
func (command *explainCommand) Execute([]string) error {
	address, err := command.address()
	if err != nil {
		return err
	}
	explanation, err := survey.Explain(context.Background(), address, command.Kind, command.Key, command.Query)
	if err != nil {
		return err
	}
	if global.JSON {
		return printJSON(explanation)
	}
	fmt.Printf("kind %s, revision %d, preset %s, snapshot %d, fingerprint %s (%s)\n", explanation.Kind,
		explanation.Revision, explanation.Preset, explanation.Snapshot, explanation.Fingerprint, explanation.Verdict)
	table := table.New(os.Stdout)
	fmt.Fprintln(table, "SHARD\tTARGET\tHOLDER\tREASON")
	for _, route := range explanation.Routes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", route.Shard, route.Target, route.Holder, route.Reason)
	}
	return table.Flush()
}

type drainCommand struct {
	instanceOption
}

// Execute asks the instance to leave the fleet and stop.
func (command *drainCommand) Execute([]string) error {
	address, err := command.address()
	if err != nil {
		return err
	}
	if err := survey.Drain(context.Background(), address); err != nil {
		return err
	}
	if global.JSON {
		return printJSON(map[string]string{"draining": address.String()})
	}
	fmt.Printf("%s is leaving; it stops when its requests are finished\n", address)
	return nil
}
