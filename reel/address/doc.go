// Package address orders the instances that a caller should use, so that load stays even.
package address
