package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"shallotreel.example/reelctl/traffic"
)

// metricsOption is the option with the metrics address of an instance that proxies requests, at which its status is served.
type metricsOption struct {
	Instance string `long:"instance" short:"i" required:"yes" description:"metrics address of an instance, such as 10.0.0.1:9464"`
}

func (option metricsOption) address() (netip.AddrPort, error) { return parseInstance(option.Instance) }

type evacuationsCommand struct {
	metricsOption
}

// Execute prints the evacuations and cold targets of all instances.
func (command *evacuationsCommand) Execute([]string) error {
	address, err := command.address()
	if err != nil {
		return err
	}
	survey, err := traffic.ForEvacuations(context.Background(), address)
	if err != nil {
		return err
	}
	report := traffic.EvacuationsOf(survey)
	return printResult(report, func() error { return report.Print(os.Stdout) }, !report.Uniform())
}

type loadCommand struct {
	metricsOption
	Interval time.Duration `long:"interval" default:"1s" description:"time over which requests are counted, 0 for all since the start of each instance"`
}

// Execute prints the admission of requests at all instances.
func (command *loadCommand) Execute([]string) error {
	address, err := command.address()
	if err != nil {
		return err
	}
	report, err := command.load(context.Background(), address)
	if err != nil {
		return err
	}
	return printResult(report, func() error { return report.Print(os.Stdout) }, len(report.Unreachable) > 0)
}

// load surveys the instances once, or twice if there is an interval.
func (command *loadCommand) load(ctx context.Context, address netip.AddrPort) (traffic.Load, error) {
	if command.Interval < 0 {
		return traffic.Load{}, errors.Errorf("field interval: value %v: give a duration of 0 or more", command.Interval)
	}
	before, err := traffic.ForLoad(ctx, address)
	if err != nil || command.Interval == 0 {
		return traffic.LoadOf(before), err
	}
	time.Sleep(command.Interval)
	after, err := traffic.ForLoad(ctx, address)
	return traffic.LoadBetween(before, after), err
}
