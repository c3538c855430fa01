package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"shallotreel.example/platform"
	"shallotreel.example/shallotreel/front"
	"shallotreel.example/shallotreel/settings"
)

// settingsPoll is how often the settings file is looked at, since it may change without a signal.
const settingsPoll = time.Second

// runFront serves callers on the users' platform until a signal ends it.
func runFront(options options) error {
	path := options.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return errors.Errorf("name the settings file with --settings or in %s", platform.SettingsVariable)
	}
	read, err := settings.ReadFront(path)
	if err != nil {
		return err
	}
	if options.Check {
		fmt.Println("settings are valid")
		return nil
	}
	output := front.NewLogWriter(os.Stdout)
	defer output.Close()
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(read.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	started, err := front.Start(read, logger)
	if err != nil {
		return err
	}
	started.Stop(await(started, path, logger))
	return nil
}

// await reloads the settings whenever they change and returns the reason to stop.
func await(started *front.Front, path string, logger *logrus.Logger) string {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	changed := modified(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return "received " + received.String()
			}
			changed = modified(path)
			reload(started, path, logger)
		case <-ticker.C:
			if now := modified(path); now != changed {
				changed = now
				reload(started, path, logger)
			}
		}
	}
}

func reload(started *front.Front, path string, logger *logrus.Logger) {
	read, err := settings.ReadFront(path)
	if err != nil {
		logger.WithError(err).Error("settings refused, the last ones stay")
		return
	}
	started.Reload(read)
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
