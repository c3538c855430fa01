// Command standin plays the platform and the targets for tests and the bench.
package main
