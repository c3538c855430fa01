// Package experiment reads and validates experiment files, each of which describes one run of the bench.
package experiment
