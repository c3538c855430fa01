// Package choice picks the target of each attempt from what traffic has shown of the targets.
package choice
