// Package document holds the configuration that operators publish and judges whether it is valid.
package document
