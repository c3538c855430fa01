// Package proptest runs the property-based tests of a package with a fixed seed, so that each run draws the same
// inputs.
package proptest
