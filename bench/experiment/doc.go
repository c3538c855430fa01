// Package experiment reads the files that describe one run of the bench.
package experiment
