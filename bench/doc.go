// Command bench starts a deployment as real processes, loads it, breaks it and measures what callers get.
package main
