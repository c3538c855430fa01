// Package document defines the configuration that operators publish, and parses and validates it.
package document
