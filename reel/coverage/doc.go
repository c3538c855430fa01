// Package coverage counts which key ranges of a partition map an answer holds.
package coverage
