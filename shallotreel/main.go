package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"shallotreel.example/shallotreel/instance"
	"shallotreel.example/shallotreel/settings"
)

// version is the release that --version prints.
const version = "0.1.0"

type options struct {
	Settings string `long:"settings" short:"s" description:"path of the settings file (JSON)"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	LogLevel string `long:"log-level" description:"override the log level of the settings" choice:"debug" choice:"info" choice:"warning" choice:"error"`
	LogJSON  bool   `long:"log-json" description:"write log lines as JSON"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "shallotreel:", err)
		os.Exit(1)
	}
}

func run() error {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.AddCommand("front", "proxy the requests of callers to targets",
		"Reads the settings file given with --settings or in the environment variable SHALLOTREEL_NODE_FILE.", &struct{}{}); err != nil {
		return errors.Wrap(err, "define commands")
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		os.Exit(2)
	}
	if parser.Active != nil {
		return runFront(options)
	}
	if options.Version {
		fmt.Println("shallotreel", version)
		return nil
	}
	if options.Settings == "" {
		return errors.New("specify the settings file with --settings")
	}
	loaded, err := settings.Read(options.Settings)
	if err != nil {
		return err
	}
	if options.Check {
		fmt.Println("settings are valid")
		return nil
	}
	running, err := instance.Start(loaded, newLogger(options, loaded))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case received := <-signals:
		running.Stop("received " + received.String())
	case reason := <-running.StopRequested():
		running.Stop(reason)
	}
	return nil
}

func newLogger(options options, settings settings.Settings) *logrus.Logger {
	logger := logrus.New()
	level := settings.LogLevel
	if options.LogLevel != "" {
		level = options.LogLevel
	}
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	if options.LogJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return logger
}
