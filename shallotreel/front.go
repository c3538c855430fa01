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

// settingsPollInterval is the interval between two checks of the settings file's modification time. The file may change
// without a SIGHUP.
const settingsPollInterval = time.Second

// runFront runs an instance of package front until it receives SIGTERM or SIGINT. With the option Check, it only
// validates the settings file.
func runFront(options options) error {
	path := options.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return errors.Errorf("specify the settings file with --settings or in %s", platform.SettingsVariable)
	}
	loaded, err := settings.ReadFront(path)
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
	if level, err := logrus.ParseLevel(loaded.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	instance, err := front.Start(loaded, logger)
	if err != nil {
		return err
	}
	instance.Stop(waitForStop(instance, path, logger))
	return nil
}

// waitForStop waits for SIGTERM or SIGINT and returns the reason to stop. Meanwhile it reloads the settings on SIGHUP
// and when the file changes.
func waitForStop(instance *front.Front, path string, logger *logrus.Logger) string {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return "received " + received.String()
			}
			lastModTime = modTime(path)
			reload(instance, path, logger)
		case <-ticker.C:
			if current := modTime(path); current != lastModTime {
				lastModTime = current
				reload(instance, path, logger)
			}
		}
	}
}

// reload applies the settings of the file, or keeps the current ones if the file is invalid.
func reload(instance *front.Front, path string, logger *logrus.Logger) {
	loaded, err := settings.ReadFront(path)
	if err != nil {
		logger.WithError(err).Error("settings rejected; keeping the current settings")
		return
	}
	instance.Reload(loaded)
}

// modTime returns the modification time of the file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
