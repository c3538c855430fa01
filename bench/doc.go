// Command bench starts a deployment as real processes, sends load to it, injects faults and measures the answers that
// callers receive.
package main
