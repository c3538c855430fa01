// Package coverage computes which part of the key space an answer covers.
package coverage
