// Package drawn makes tests that draw their sessions draw the same ones in each run.
package drawn
