// Command standin simulates the platform and the targets for tests and the bench.
package main
