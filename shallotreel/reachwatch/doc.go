// Package reachwatch watches whether this instance reaches the targets. It feeds package reach with the attempts of the
// process and with probes, logs each change, and tells those who wait for one.
package reachwatch
